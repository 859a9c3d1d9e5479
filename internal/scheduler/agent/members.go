package agent

import (
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/rpc"
	"time"

	"google.golang.org/protobuf/proto"
)

// membersShard is the shard of the feed with the live processes of the system. Only this agent
// publishes it: its offsets are times in microseconds, so that they keep increasing across a
// restart.
const membersShard = "members"

// publishMembers updates the feed to a new view: it publishes one event for each member that is
// new, has changed, or is no longer alive.
func (a *Agent) publishMembers(v *membership.View) {
	var events []*rpc.FeedEvent
	alive := map[string]*rpc.Member{}
	for _, m := range v.Members {
		if !m.Alive {
			continue
		}
		alive[m.Name] = m.Member
		if old := a.published[m.Name]; old == nil || !proto.Equal(old, m.Member) {
			events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Member{Member: m.Member}})
		}
	}
	for name := range a.published {
		if alive[name] == nil {
			events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Left{Left: name}})
		}
	}
	a.published = alive
	if len(events) > 0 {
		a.feed.PublishAfter(membersShard, uint64(time.Now().UnixMicro()), events...)
	}
}
