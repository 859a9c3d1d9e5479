// Package controlplane is the role that serves control: it holds the replicas of the directory and of the registry's shards, answers the
// operator, the trainers and the workers, places replica groups, sends the workers their orders, and feeds whoever watches.
package controlplane

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"saffronquay/internal/scheduler/weights"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Server is a running process of this role.
type Server struct {
	source   *settings.Source
	settings *settings.Settings
	log      *slog.Logger
	identity replica.Identity

	options    replica.Options
	facts      *replica.IdentityStore
	store      *replica.Store
	host       *replica.Host
	client     *transport.Client
	feed       *feed.Table
	directory  *directory.Directory
	shards     map[string]*shard
	membership *membership.Membership
	demand     weights.Demand
	control    *fasthttp.Server

	mu      sync.Mutex
	changed chan struct{} // closed when a group's status changes
	begun   time.Time
}

// shard is a part of the registry at this steward.
type shard struct {
	server   *Server
	name     string
	registry *registry.Registry
	desk     *registry.HeartbeatHandler
}

// gatherChanges is how long a change waits to be told to gatherers together with others: workers change their weights in bursts. It is small
// beside the time within which a change must be in force everywhere.
const gatherChanges = 40 * time.Millisecond

// freshWithin is how long ago a leader may have been heard for a steward to count as in touch.
const freshWithin = 700 // ms

// Run serves until the context ends, then closes what is open.
func Run(ctx context.Context, source *settings.Source, options replica.Options, log *slog.Logger) error {
	st := &Server{
		source: source, settings: source.Current(), options: options, log: log, client: transport.NewClient(), feed: feed.NewTable(), shards: map[string]*shard{},
		changed: make(chan struct{}), begun: time.Now(),
	}
	if err := st.open(); err != nil {
		return err
	}
	defer st.facts.Close()
	defer st.store.Close()
	return st.serve(ctx)
}

// groups names the groups that stewards hold.
func groups() []string {
	names := []string{directory.Shard}
	for n := range registry.ShardCount {
		names = append(names, registry.ShardName(n))
	}
	return names
}

func (st *Server) open() (err error) {
	if st.facts, err = replica.OpenIdentityStore(st.settings.DataDir); err != nil {
		return err
	}
	if st.identity, err = replica.LoadOrCreateIdentity(st.facts, st.settings); err != nil {
		return err
	}
	if st.store, err = replica.OpenStore(st.settings.DataDir); err != nil {
		return err
	}
	st.directory = directory.New(st.feed)
	for n := range registry.ShardCount {
		name := registry.ShardName(n)
		state := registry.New(name, st.feed)
		st.shards[name] = &shard{server: st, name: name, registry: state, desk: registry.NewHeartbeatHandler(state, st.settings.HeartbeatMS)}
	}
	sender := replica.NewSender(st.client)
	st.options.BatchCalls = st.settings.FeatureGates.GatheredWrites
	st.host, err = replica.NewHost(replica.Config{Identity: st.identity, Store: st.store, Machine: st.machine, Send: sender.Send, Log: st.log, Options: st.options, Changed: st.groupChanged})
	return err
}

func (st *Server) machine(group string) replica.StateMachine {
	if group == directory.Shard {
		return st.directory
	}
	if sh := st.shards[group]; sh != nil {
		return sh.registry
	}
	return nil
}

func (st *Server) groupChanged(string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Server) serve(ctx context.Context) error {
	peer, err := transport.Listen(st.settings.PeerAddress(), map[string]http.Handler{
		rpc.ReplicationPathPrefix: rpc.NewReplicationServer(&replica.Service{Host: st.host}),
		rpc.ControlPathPrefix:     rpc.NewControlServer(st),
	})
	if err != nil {
		return err
	}
	control, err := transport.ListenTCP(st.settings.Listen.ControlPlane)
	if err != nil {
		return err
	}
	if st.membership, err = membership.Start(st.settings, settings.ServesControlPlane, st.identity.ID, st.log, nil); err != nil {
		return err
	}
	go st.host.Run()
	go peer.Serve()
	st.found()
	st.control = &fasthttp.Server{
		Handler: st.routes(), MaxRequestBodySize: maxBody, NoDefaultServerHeader: true, NoDefaultDate: true,
		IdleTimeout: time.Minute, ReadTimeout: 20 * time.Second, CloseOnShutdown: true,
	}
	go st.control.Serve(control)
	go st.controlLoop(ctx)
	for _, sh := range st.shards {
		holder := &weights.Dispatcher{
			Node: st.settings.NodeName, TakeOverDelay: settings.Milliseconds(st.settings.Bounds.LeaseMS),
			Fenced: st.settings.Bounds.Fencing, Shard: sh, Wanted: st.directory.NamedVersions,
			Rules: weights.Rules{SingleVersion: st.singleVersion, MaxConcurrent: weights.ConcurrentLoads, Slots: st.slots}, Log: st.log,
		}
		go holder.Run(ctx)
	}
	select {
	case <-ctx.Done():
	case <-st.host.Done():
	}
	st.log.Info("stopping")
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	st.control.ShutdownWithContext(end)
	peer.Close(end)
	if !st.host.Failed() {
		st.host.Stop()
		return nil
	}
	return fmt.Errorf("steward: the disk failed")
}

// found starts the groups at the first start of the whole system: the machines that the seeds name are their founders.
func (st *Server) found() {
	if !st.settings.Bootstrap {
		return
	}
	var founders []*rpc.Replica
	own := false
	for _, seed := range st.settings.Seeds {
		founders = append(founders, &rpc.Replica{Id: replica.FounderID(seed), Address: st.settings.PeerAddressOf(seed)})
		own = own || replica.FounderID(seed) == st.identity.ID
	}
	if !own {
		return
	}
	for _, name := range groups() {
		st.host.CreateGroup(name, founders)
	}
}

// singleVersion tells whether a model's texts must be made by one version of its weights; while nobody has said so, they may have to.
func (st *Server) singleVersion(model string) bool {
	single, known := st.directory.SingleVersionPolicy(model)
	return single || !known
}

// slots is how many requests of a model its open jobs need to run at once.
func (st *Server) slots(model string) float64 { return st.demand.Slots(st.host.Now(), model) }

// fresh tells whether this steward is in touch with the leaders of all groups.
func (st *Server) fresh() bool {
	for _, name := range groups() {
		status := st.host.Status(name)
		if status == nil || !status.InTouch(st.host.Now(), freshWithin) {
			return false
		}
	}
	return true
}

// Watch implements rpc.Control.
func (st *Server) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	source := feed.Source{Table: st.feed, Fresh: st.fresh}
	if st.settings.FeatureGates.GatheredChanges {
		source.CoalesceDelay = gatherChanges
	}
	return source.Watch(ctx, r), nil
}

// NotePolicy implements rpc.Control.
func (st *Server) NotePolicy(ctx context.Context, p *rpc.ModelPolicy) (*rpc.NotePolicyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	command := replica.Marshal(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: p}})
	return &rpc.NotePolicyResponse{Taken: st.submit(ctx, directory.Shard, command).Outcome == rpc.Outcome_DONE}, nil
}

// NoteDemand implements rpc.Control.
func (st *Server) NoteDemand(_ context.Context, d *rpc.Demand) (*rpc.NoteDemandResponse, error) {
	st.demand.Update(st.host.Now(), d.Shard, d.Slots)
	return &rpc.NoteDemandResponse{}, nil
}

func (st *Server) submit(ctx context.Context, group string, command []byte) replica.ProposalResult {
	return replica.Submit(ctx, st.host, st.client, group, command)
}

// controlAddress is where the process with a peer address answers workers and the operator.
func (st *Server) controlAddress(peer string) string {
	host, _, err := net.SplitHostPort(peer)
	own, err2 := netip.ParseAddrPort(st.settings.Listen.ControlPlane)
	if err != nil || err2 != nil {
		return ""
	}
	return net.JoinHostPort(host, fmt.Sprint(own.Port()))
}

// controlLoop keeps what this steward leads in order: placements, retirements, lost workers.
func (st *Server) controlLoop(ctx context.Context) {
	ticker := time.NewTicker(150 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for name, placement := range st.directory.Placements() {
			if st.machine(name) != nil {
				st.host.SetWanted(placement)
			}
		}
		for _, sh := range st.shards {
			sh.tick(ctx)
		}
		if status := st.host.Status(directory.Shard); status != nil && status.HasLease(st.host.Now()) {
			st.place(ctx)
			st.retire(ctx)
		}
	}
}

// ledgerGroups names the groups that storage machines hold, shard 0 last: once it is placed, all are.
func (st *Server) ledgerGroups() (names []string) {
	placements := st.directory.Placements()
	shards := batchjobs.PlacedShardCount(func(group string) bool { return placements[group] != nil })
	if shards == 0 {
		shards = batchjobs.InitialShardCount(len(st.machines(settings.ServesStorage)))
	}
	for n := shards - 1; n >= 0; n-- {
		names = append(names, batchjobs.ShardName(n))
	}
	return names
}
