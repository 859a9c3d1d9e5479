package feed

import "saffronquay/internal/scheduler/rpc"

// eventKey returns the subject of an event. A later event of the shard with the same key replaces
// it.
func eventKey(e *rpc.FeedEvent) string {
	switch x := e.Event.(type) {
	case *rpc.FeedEvent_Configuration:
		return "configuration"
	case *rpc.FeedEvent_Version:
		return "version/" + x.Version.Model
	case *rpc.FeedEvent_Placement:
		return "placement/" + x.Placement.Group
	case *rpc.FeedEvent_Instance:
		return "instance/" + x.Instance.Id
	case *rpc.FeedEvent_Gone:
		return "instance/" + x.Gone
	case *rpc.FeedEvent_Policy:
		return "policy/" + x.Policy.Model
	case *rpc.FeedEvent_Member:
		return "member/" + x.Member.Name
	case *rpc.FeedEvent_Left:
		return "member/" + x.Left
	}
	return ""
}

// isRemoval reports whether an event removes its subject.
func isRemoval(e *rpc.FeedEvent) bool {
	switch e.Event.(type) {
	case *rpc.FeedEvent_Gone, *rpc.FeedEvent_Left:
		return true
	}
	return false
}

// removalOf returns the event that removes the subject of e, or nil if subjects of its kind are
// never removed.
func removalOf(e *rpc.FeedEvent, offset uint64) *rpc.FeedEvent {
	switch x := e.Event.(type) {
	case *rpc.FeedEvent_Instance:
		return &rpc.FeedEvent{Offset: offset, Event: &rpc.FeedEvent_Gone{Gone: x.Instance.Id}}
	case *rpc.FeedEvent_Member:
		return &rpc.FeedEvent{Offset: offset, Event: &rpc.FeedEvent_Left{Left: x.Member.Name}}
	}
	return nil
}
