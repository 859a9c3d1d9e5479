package agent

import (
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// view returns a view in which the named processes are alive at the given addresses.
func view(addresses map[string]string) *membership.View {
	v := &membership.View{}
	for name, address := range addresses {
		v.Members = append(v.Members, membership.Member{Member: &rpc.Member{Name: name, Address: address}, Alive: true})
	}
	return v
}

// Only changes are published: members that appear, change, or are no longer alive.
func TestPublishMembers(t *testing.T) {
	a := &Agent{feed: feed.NewTable(), published: map[string]*rpc.Member{}}
	failed := view(map[string]string{"a": "1"})
	failed.Members[0].Alive = false
	for _, step := range []struct {
		name     string
		view     *membership.View
		appeared int
		left     int
	}{
		{"two appear", view(map[string]string{"a": "1", "b": "2"}), 2, 0},
		{"nothing changes", view(map[string]string{"a": "1", "b": "2"}), 0, 0},
		{"one moves", view(map[string]string{"a": "1", "b": "3"}), 1, 0},
		{"one is removed", view(map[string]string{"a": "1"}), 0, 1},
		{"one fails", failed, 0, 1},
	} {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			seen := a.feed.Offset(membersShard)
			a.publishMembers(step.view)
			appeared, left := 0, 0
			feeds, _ := a.feed.Since(map[string]uint64{membersShard: seen})
			for _, f := range feeds {
				for _, e := range f.Events {
					if e.GetMember() != nil {
						appeared++
					}
					if e.GetLeft() != "" {
						left++
					}
				}
			}
			is.Equal(appeared, step.appeared)
			is.Equal(left, step.left)
			is.Equal(a.feed.Offset(membersShard) > seen, appeared+left > 0)
		})
	}
}
