package directory

import "saffronquay/internal/scheduler/rpc"

// stateEvents returns the events that bring a watcher without any state up to date. Retirements are
// not included: only this shard's replicas use them.
func (d *Directory) stateEvents() (events []*rpc.FeedEvent) {
	if d.version > 0 {
		events = append(events, configurationEvent(d.version, d.configuration))
	}
	for model, version := range d.namedVersions {
		events = append(events, versionEvent(&rpc.NameVersion{Model: model, Version: version}))
	}
	for _, p := range d.placements {
		events = append(events, placementEvent(p))
	}
	for model, single := range d.singleVersionByModel {
		events = append(events, policyEvent(&rpc.ModelPolicy{Model: model, SingleVersion: single}))
	}
	return events
}

func configurationEvent(version uint64, packed []byte) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Configuration{Configuration: &rpc.ConfigurationEvent{Version: version, Body: packed}}}
}

func versionEvent(named *rpc.NameVersion) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Version{Version: named}}
}

func placementEvent(p *rpc.Placement) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Placement{Placement: p}}
}

func policyEvent(policy *rpc.ModelPolicy) *rpc.FeedEvent {
	return &rpc.FeedEvent{Event: &rpc.FeedEvent_Policy{Policy: policy}}
}
