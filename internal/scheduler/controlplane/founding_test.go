package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// A bootstrap member is queried until it replies; a single one that has had contact with the
// querying bootstrap member decides.
func TestQueryBootstrapMembers(t *testing.T) {
	refused := errors.New("connection refused")
	for _, test := range []struct {
		name      string
		answers   map[string][]any // by address, in order: an error, or whether it has had contact with the bootstrap member
		contacted bool
	}{
		{"first start", map[string][]any{"b": {refused, false}, "c": {refused, refused, false}}, false},
		{"one has had contact", map[string][]any{"b": {false}, "c": {refused, true}}, true},
		{"both have had contact", map[string][]any{"b": {true}, "c": {true}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			contacted := queryBootstrapMembers(context.Background(), []string{"b", "c"}, func(_ context.Context, address string) (bool, error) {
				answer := test.answers[address][0]
				test.answers[address] = test.answers[address][1:]
				if err, failed := answer.(error); failed {
					return false, err
				}
				return answer == true, nil
			})
			is.Equal(contacted, test.contacted)
		})
	}
	is := is.New(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(!queryBootstrapMembers(ended, []string{"b"}, func(context.Context, string) (bool, error) { return false, refused })) // the groups are created without that bootstrap member
}

// A bootstrap member with an empty disk uses its bootstrap member id at the first start, and
// another id once one of its messages has arrived at another bootstrap member, although the setting
// bootstrap is still true. The record survives a restart of the other bootstrap member.
func TestBootstrapMemberIdentity_ChangesAfterDiskLoss(t *testing.T) {
	is := is.New(t)
	const self, other = "127.0.0.1:8144", "127.0.0.2:8144"
	s := &settings.Settings{IP: "127.0.0.1", PortRange: []int{7380, 7395}, Bootstrap: true, Seeds: []string{self, other}, Listen: settings.Listen{ControlPlane: self}}
	others := t.TempDir()
	start := func() replica.Identity { // with an empty disk
		record, err := replica.OpenIdentityStore(others)
		is.NoErr(err)
		defer record.Close()
		own, err := replica.OpenIdentityStore(t.TempDir())
		is.NoErr(err)
		defer own.Close()
		service := &replica.Service{Host: newTestHost(t, record), HasContact: func(bootstrapMember string) bool {
			contacted, err := record.HasContact(bootstrapMember)
			is.NoErr(err)
			return contacted
		}}
		identity, err := replica.LoadOrCreateIdentity(own, s, func(bootstrapMember string) bool {
			response, err := service.Status(context.Background(), &rpc.StatusRequest{Founder: bootstrapMember})
			is.NoErr(err)
			return response.FounderMet
		})
		is.NoErr(err)
		// The new process sends a message to the other bootstrap member.
		stopped := make(chan struct{})
		go func() { defer close(stopped); service.Host.Run() }()
		service.Host.Step([]*rpc.Message{{Kind: rpc.MessageKind_PRE_VOTE, Group: "g", From: identity.ID, To: "other", Epoch: 2}})
		service.Host.Propose(context.Background(), "g", nil) // returns after the message has been processed
		service.Host.Stop()
		<-stopped
		return identity
	}
	is.Equal(start().ID, replica.BootstrapMemberID(self))
	again := start().ID
	is.True(again != replica.BootstrapMemberID(self))
	is.True(start().ID != again)
}

// newTestHost returns a host without groups that records contacts. The caller must call Run.
func newTestHost(t *testing.T, record *replica.IdentityStore) *replica.Host {
	t.Helper()
	store, err := replica.OpenStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	host, err := replica.NewHost(replica.Config{
		Identity: replica.Identity{ID: "other", Address: "other"}, Store: store, Machine: func(string) replica.StateMachine { return nil },
		Send: func(string, []*rpc.Message) {}, Log: slog.New(slog.DiscardHandler), FirstContact: record.RecordContact,
	})
	if err != nil {
		t.Fatal(err)
	}
	return host
}

// At the first start all bootstrap members query each other at the same time, and reply although
// none has a replica yet.
func TestParticipatedBefore_ConcurrentBootstrapMembers(t *testing.T) {
	is := is.New(t)
	probe, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	_, port, err := net.SplitHostPort(probe.Addr().String())
	is.NoErr(err)
	is.NoErr(probe.Close())
	first, err := strconv.Atoi(port)
	is.NoErr(err)
	newBootstrapMember := func(ip string) *Server {
		return &Server{
			settings: &settings.Settings{
				IP: ip, PortRange: []int{first, first + 3}, Bootstrap: true,
				Seeds: []string{"127.0.0.1:8144", "127.0.0.2:8144"}, Listen: settings.Listen{ControlPlane: ip + ":8144"},
			},
			log: slog.New(slog.DiscardHandler), client: transport.NewClient(),
		}
	}
	results := make(chan bool, 2)
	for _, ip := range []string{"127.0.0.1", "127.0.0.2"} {
		bootstrapMember := newBootstrapMember(ip)
		go func() {
			results <- bootstrapMember.participatedBefore(context.Background(), replica.BootstrapMemberID(ip+":8144"))
		}()
	}
	is.True(!<-results)
	is.True(!<-results)
}
