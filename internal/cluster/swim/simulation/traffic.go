package simulation

// Second is what passed within one second, datagrams and streams together, without the headers of the network.
type Second struct {
	Datagrams                 int64 // that all sent, streams not among them
	Sent, Received            int64 // bytes, of all
	MaxSent, MaxReceived      int64 // bytes, of the one process that sent, or received, the most
	MaxDatagrams, MaxArriving int64 // datagrams, likewise
}

// Peak is the largest of each over some seconds.
func Peak(all []Second) (most Second) {
	for _, s := range all {
		most.Datagrams, most.Sent, most.Received = max(most.Datagrams, s.Datagrams), max(most.Sent, s.Sent), max(most.Received, s.Received)
		most.MaxSent, most.MaxReceived = max(most.MaxSent, s.MaxSent), max(most.MaxReceived, s.MaxReceived)
		most.MaxDatagrams, most.MaxArriving = max(most.MaxDatagrams, s.MaxDatagrams), max(most.MaxArriving, s.MaxArriving)
	}
	return most
}

// traffic is one process's within the second that it passed something in last.
type traffic struct {
	second                             int
	sent, received, datagrams, arrived int64
}

// pass counts what a process sends or receives now.
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

// settle holds a process's last second against the most of all.
func (w *simulator) closeSecond(p *process) {
	if t := p.traffic; t.second < len(w.result.Seconds) {
		s := &w.result.Seconds[t.second]
		s.MaxSent, s.MaxReceived = max(s.MaxSent, t.sent), max(s.MaxReceived, t.received)
		s.MaxDatagrams, s.MaxArriving = max(s.MaxDatagrams, t.datagrams), max(s.MaxArriving, t.arrived)
	}
}
