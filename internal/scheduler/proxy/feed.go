package proxy

import (
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
)

// applyEvents applies the control plane's events in their order. The feed's goroutine calls it.
func (p *Proxy) applyEvents(events []*rpc.FeedEvent) {
	for _, e := range events {
		switch x := e.Event.(type) {
		case *rpc.FeedEvent_Configuration:
			p.applyConfiguration(x.Configuration)
		case *rpc.FeedEvent_Instance:
			p.forwarder.Table.PutWorker(x.Instance)
		case *rpc.FeedEvent_Gone:
			p.forwarder.Table.RemoveWorker(x.Gone)
		case *rpc.FeedEvent_Placement:
			p.jobOwners.UpdatePlacement(x.Placement)
		case *rpc.FeedEvent_Policy:
			p.mu.Lock()
			p.policies[x.Policy.Model] = x.Policy.SingleVersion
			p.mu.Unlock()
		case *rpc.FeedEvent_Member:
			p.applyMember(x.Member)
		case *rpc.FeedEvent_Left:
			p.forwarder.Table.RemoveGatherer(x.Left)
		}
	}
}

// applyMember records another gatherer, or the zone of a storage node.
func (p *Proxy) applyMember(member *rpc.Member) {
	switch member.Kind {
	case settings.ServesEdge:
		p.forwarder.Table.PutGatherer(routing.Gatherer{Name: member.Name, Zone: member.Zone})
	case settings.ServesStorage:
		p.jobOwners.SetZone(member.Address, member.Zone)
	}
}

// applyConfiguration puts a configuration in force, unless it is older than the one in force or unreadable. The first one lets the requests
// go on that wait in awaitConfiguration.
func (p *Proxy) applyConfiguration(e *rpc.ConfigurationEvent) {
	if old := p.config.Load(); old != nil && old.Version >= e.Version {
		return
	}
	text, err := compression.Documents.Decompress(e.Body)
	if err != nil {
		p.log.Error("configuration can't be used", "version", e.Version, "error", err)
		return
	}
	document, err := configuration.ParseTrusted(text)
	if err != nil {
		p.log.Error("configuration can't be used", "version", e.Version, "error", err)
		return
	}
	if p.config.Swap(configuration.NewTable(document)) == nil {
		close(p.configured)
		metrics.RecordStartPhase("configuration")
	}
	p.log.Info("configuration", "version", e.Version, "routes", len(document.Routes))
}
