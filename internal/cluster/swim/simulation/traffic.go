package simulation

// Second is the traffic of one second, datagrams and streams together, without the headers of the network.
type Second struct {
	Datagrams                 int64 // sent by all processes; streams are not included
	Sent, Received            int64 // bytes of all processes
	MaxSent, MaxReceived      int64 // bytes of the process that sent, or received, the most
	MaxDatagrams, MaxArriving int64 // datagrams sent and received, likewise
}

// Peak returns the largest value of each field over some seconds.
func Peak(all []Second) (most Second) {
	for _, s := range all {
		most.Datagrams, most.Sent, most.Received = max(most.Datagrams, s.Datagrams), max(most.Sent, s.Sent), max(most.Received, s.Received)
		most.MaxSent, most.MaxReceived = max(most.MaxSent, s.MaxSent), max(most.MaxReceived, s.MaxReceived)
		most.MaxDatagrams, most.MaxArriving = max(most.MaxDatagrams, s.MaxDatagrams), max(most.MaxArriving, s.MaxArriving)
	}
	return most
}

// traffic is what one process sent and received in the last second in which it did.
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

// closeSecond compares a process's traffic in its last second with the greatest of all processes.
func (w *simulator) closeSecond(p *process) {
	if t := p.traffic; t.second < len(w.result.Seconds) {
		s := &w.result.Seconds[t.second]
		s.MaxSent, s.MaxReceived = max(s.MaxSent, t.sent), max(s.MaxReceived, t.received)
		s.MaxDatagrams, s.MaxArriving = max(s.MaxDatagrams, t.datagrams), max(s.MaxArriving, t.arrived)
	}
}
