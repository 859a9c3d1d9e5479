package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/lifecycle"
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"saffronquay/internal/scheduler/weights"
	"time"

	"github.com/valyala/fasthttp"
)

// errDiskFailed stops the role: the state of its replicas could not be read.
var errDiskFailed = errors.New("controlplane: disk failed, replicas stopped")

const (
	maxBodyBytes = 64 << 20 // of a request
	idleTimeout  = time.Minute
	readTimeout  = 20 * time.Second
)

// Server is a running process of this role. Its fields are set before it serves and do not change;
// the objects they refer to are safe for concurrent use.
type Server struct {
	settings *settings.Settings
	log      *slog.Logger
	client   *transport.Client
	started  time.Time

	identity   replica.Identity
	identities *replica.IdentityStore
	store      *replica.Store
	host       *replica.Host
	membership *membership.Membership

	feed      *feed.Table
	directory *directory.Directory
	shards    map[string]*shard
	demand    weights.Demand
}

// Run serves until ctx ends, then shuts down. It returns an error if the process cannot start or
// its disk fails. It does not announce its departure to other members: they detect it.
func Run(ctx context.Context, source *settings.Source, options replica.Options, log *slog.Logger) error {
	s := &Server{
		settings: source.Current(), log: log, client: transport.NewClient(), started: time.Now(),
		feed: feed.NewTable(), shards: map[string]*shard{},
	}
	var err error
	if s.identities, err = replica.OpenIdentityStore(s.settings.DataDir); err != nil {
		return err
	}
	defer s.identities.Close()
	if s.store, err = replica.OpenStore(s.settings.DataDir); err != nil {
		return err
	}
	defer s.store.Close()
	if err := s.open(ctx, options); err != nil {
		return err
	}
	return s.serve(ctx)
}

// open determines the identity, and prepares the state machines and the host of the replicas.
func (s *Server) open(ctx context.Context, options replica.Options) (err error) {
	participatedBefore := func(bootstrapMember string) bool { return s.participatedBefore(ctx, bootstrapMember) }
	if s.identity, err = replica.LoadOrCreateIdentity(s.identities, s.settings, participatedBefore); err != nil {
		return err
	}
	s.directory = directory.New(s.feed)
	for n := range registry.ShardCount {
		name := registry.ShardName(n)
		state := registry.New(name, s.feed)
		s.shards[name] = &shard{server: s, name: name, registry: state, heartbeats: registry.NewHeartbeatHandler(state, s.settings.HeartbeatMS)}
	}
	options.BatchCalls = s.settings.FeatureGates.BatchedWrites
	s.host, err = replica.NewHost(replica.Config{
		Identity: s.identity, Store: s.store, Machine: s.stateMachine, Send: replica.NewSender(s.client).Send, Log: s.log, Options: options,
		FirstContact: s.identities.RecordContact,
	})
	return err
}

// hasContact reports whether a message of a bootstrap member has ever arrived here. It returns true
// if the disk cannot be read: a bootstrap member that is wrongly assumed to have lost its disk uses
// another id, which is harmless.
func (s *Server) hasContact(bootstrapMember string) bool {
	contacted, err := s.identities.HasContact(bootstrapMember)
	return contacted || err != nil
}

// serve runs the servers and loops until ctx ends or the disk fails.
func (s *Server) serve(ctx context.Context) error {
	peer, err := transport.Listen(ctx, s.settings.PeerAddress(), map[string]http.Handler{
		rpc.ReplicationPathPrefix: rpc.NewReplicationServer(&replica.Service{Host: s.host, HasContact: s.hasContact}),
		rpc.ControlPathPrefix:     rpc.NewControlServer(s),
	})
	if err != nil {
		return err
	}
	listener, err := transport.ListenTCP(ctx, s.settings.Listen.ControlPlane)
	if err != nil {
		return err
	}
	if s.membership, err = membership.Start(ctx, s.settings, settings.ServesControlPlane, s.identity.ID, s.log, nil); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var tasks lifecycle.Tasks
	go s.host.Run() // shutdown waits for it
	tasks.Serve(s.log, "peer", peer.Serve)
	s.createInitialGroups()
	api := &fasthttp.Server{
		Handler: s.routes(context.WithoutCancel(ctx)), MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, NoDefaultDate: true,
		IdleTimeout: idleTimeout, ReadTimeout: readTimeout, CloseOnShutdown: true,
	}
	tasks.Serve(s.log, "api", func() error { return api.Serve(listener) })
	tasks.Go(func() { s.controlLoop(ctx) })
	for _, sh := range s.shards {
		tasks.Go(func() { s.newDispatcher(sh).Run(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-s.host.Done():
	}
	s.log.Info("stopping")
	s.transferLeadership(ctx)
	stop()
	return s.shutdown(context.WithoutCancel(ctx), &tasks, api.ShutdownWithContext, peer.Close)
}

// transferLeadership transfers the leadership of all groups to other processes, so that the groups
// do not wait for an election timeout. Requests are served meanwhile.
func (s *Server) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lifecycle.HandOverTimeout)
	defer cancel()
	s.host.TransferLeadership(ctx)
}

// shutdown closes the servers, waits for the tasks and stops the replicas.
func (s *Server) shutdown(ctx context.Context, tasks *lifecycle.Tasks, closers ...func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, lifecycle.ShutdownTimeout)
	defer cancel()
	for _, closeServer := range closers {
		if err := closeServer(ctx); err != nil {
			s.log.Info("server did not close in time", "error", err)
		}
	}
	tasks.Wait(ctx)
	if s.host.Failed() {
		return errDiskFailed
	}
	s.host.Stop()
	return nil
}

// newDispatcher returns the dispatcher of orders for one registry shard.
func (s *Server) newDispatcher(sh *shard) *weights.Dispatcher {
	return &weights.Dispatcher{
		Node: s.settings.NodeName, TakeOverDelay: settings.Milliseconds(s.settings.Bounds.TakeOverDelayMS),
		Fenced: s.settings.Bounds.Fencing, Shard: sh, Wanted: s.directory.LatestVersions,
		Rules: weights.Rules{SingleVersion: s.singleVersion, MaxConcurrent: weights.ConcurrentLoads, Slots: s.slots}, Log: s.log,
	}
}

// singleVersion reports whether all texts of a model must be generated by one version of its
// weights. It is true while no policy has been set.
func (s *Server) singleVersion(model string) bool {
	single, known := s.directory.SingleVersionPolicy(model)
	return single || !known
}

// slots returns the number of concurrent requests that a model's open batch jobs need.
func (s *Server) slots(model string) float64 { return s.demand.Slots(s.host.Now(), model) }

// submit has the leader of a group, in any process, commit a command. It retries until ctx ends.
func (s *Server) submit(ctx context.Context, group string, command []byte) replica.ProposalResult {
	return replica.Submit(ctx, s.host, s.client, group, command)
}

// controlClient returns a client of the control service of another process.
func (s *Server) controlClient(address string) rpc.Control {
	return rpc.NewControlProtobufClient("http://"+address, s.client)
}

// controlAddress returns the address at which the controller with a peer address serves workers and
// the operator; empty if an address cannot be parsed. All controllers use the same port.
func (s *Server) controlAddress(peer string) string {
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return ""
	}
	own, err := netip.ParseAddrPort(s.settings.Listen.ControlPlane)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, fmt.Sprint(own.Port()))
}
