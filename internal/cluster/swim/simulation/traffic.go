package simulation

// Second is the traffic of one second, of datagrams and streams, without network headers.
type Second struct {
	Datagrams                 int64 // sent by all processes; streams are not included
	Sent, Received            int64 // bytes of all processes
	MaxSent, MaxReceived      int64 // maximum bytes sent, or received, by one process
	MaxDatagrams, MaxArriving int64 // maximum datagrams sent, or received, by one process
}

// Peak returns the maximum of each field over the given seconds.
func Peak(all []Second) (peak Second) {
	for _, s := range all {
		peak.Datagrams, peak.Sent, peak.Received = max(peak.Datagrams, s.Datagrams), max(peak.Sent, s.Sent), max(peak.Received, s.Received)
		peak.MaxSent, peak.MaxReceived = max(peak.MaxSent, s.MaxSent), max(peak.MaxReceived, s.MaxReceived)
		peak.MaxDatagrams, peak.MaxArriving = max(peak.MaxDatagrams, s.MaxDatagrams), max(peak.MaxArriving, s.MaxArriving)
	}
	return peak
}

// traffic is the traffic of one process in the latest second in which it sent or received anything.
type traffic struct {
	second                             int
	sent, received, datagrams, arrived int64
}

// countTraffic counts bytes that a process sends or receives now.
func (w *simulator) countTraffic(p *process, sent, received int, datagram bool) {
	second := int((w.now - startTime) / 1_000_000)
	for len(w.result.Seconds) <= second {
		w.result.Seconds = append(w.result.Seconds, Second{})
	}
	if p.traffic.second != second {
		w.closeSecond(p)
		p.traffic = traffic{second: second}
	}
	s, t := &w.result.Seconds[second], &p.traffic
	s.Sent, s.Received = s.Sent+int64(sent), s.Received+int64(received)
	t.sent, t.received = t.sent+int64(sent), t.received+int64(received)
	switch {
	case !datagram:
	case sent > 0:
		s.Datagrams++
		t.datagrams++
	default:
		t.arrived++
	}
}

// closeSecond updates the maxima over all processes with a process's traffic in its latest second.
func (w *simulator) closeSecond(p *process) {
	if t := p.traffic; t.second < len(w.result.Seconds) {
		s := &w.result.Seconds[t.second]
		s.MaxSent, s.MaxReceived = max(s.MaxSent, t.sent), max(s.MaxReceived, t.received)
		s.MaxDatagrams, s.MaxArriving = max(s.MaxDatagrams, t.datagrams), max(s.MaxArriving, t.arrived)
	}
}
