package gossip

import (
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/swim"
	"strings"
	"time"
)

// logEvent writes the log line of an event.
func (p *Driver) logEvent(e swim.Event) {
	switch e.Kind {
	case swim.EventNameConflict:
		logging.Error(p.log, logging.PeerTwin, "name", e.Name, "start", e.Start, "address", e.Address)
	case swim.EventIsolated:
		logging.Error(p.log, logging.PeersAlone, "join", len(p.cfg.Core.Join))
	case swim.EventStalled:
		logging.Warn(p.log, logging.PeerNap, "for", time.Duration(e.Late)*time.Microsecond)
	case swim.EventRefuted, swim.EventRejoined:
		logging.Warn(p.log, logging.Peer, "what", e.Kind.String(), "name", e.Name, "start", e.Start, "by", strings.Join(e.Accusers, ","))
	case swim.EventSuspected, swim.EventDead:
		logging.Warn(p.log, logging.Peer, "what", e.Kind.String(), "name", e.Name, "start", e.Start, "address", e.Address, "zone", e.Zone, "by", strings.Join(e.Accusers, ","))
	default:
		logging.Info(p.log, logging.Peer, "what", e.Kind.String(), "name", e.Name, "start", e.Start, "address", e.Address, "zone", e.Zone)
	}
}
