package proxy

import (
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
)

// applyEvents applies the control plane's events in order. It is called by the feed's goroutine.
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

// applyMember records a gatherer, or the zone of a storage node.
func (p *Proxy) applyMember(member *rpc.Member) {
	switch member.Kind {
	case settings.ServesEdge:
		p.forwarder.Table.PutGatherer(routing.Gatherer{Name: member.Name, Zone: member.Zone})
	case settings.ServesStorage:
		p.jobOwners.SetZone(member.Address, member.Zone)
	}
}

// applyConfiguration replaces the configuration in force, unless the new one is not newer or can't
// be decoded. The first configuration unblocks the requests that wait in awaitConfiguration.
func (p *Proxy) applyConfiguration(e *rpc.ConfigurationEvent) {
	if old := p.config.Load(); old != nil && old.Version >= e.Version {
		return
	}
	text, err := compression.Documents.Decompress(e.Body)
	if err != nil {
		p.log.Error("configuration not applied: decompression failed", "version", e.Version, "error", err)
		return
	}
	document, err := configuration.ParseTrusted(text)
	if err != nil {
		p.log.Error("configuration not applied: parsing failed", "version", e.Version, "error", err)
		return
	}
	if p.config.Swap(configuration.NewTable(document)) == nil {
		close(p.configured)
		metrics.RecordStartPhase("configuration")
	}
	p.log.Info("configuration applied", "version", e.Version, "routes", len(document.Routes))
}
