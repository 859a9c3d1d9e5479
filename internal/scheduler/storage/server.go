package storage

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/lifecycle"
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"time"
)

// errDiskFailed is returned by Run if the replicas stopped because of a disk failure.
var errDiskFailed = errors.New("storage: disk failed, replicas stopped")

const (
	// demandTimeout bounds a call that reports the demand to a controller.
	demandTimeout = 400 * time.Millisecond
	// logsPerDisk limits the size of a shard's log: the log is compacted to a snapshot when it
	// exceeds the disk limit divided by logsPerDisk.
	logsPerDisk = 4
	// resultSlackS is a safety margin that is added to the required retention of results.
	resultSlackS = 30
)

// Server is a process of the role. Its fields are set before it serves and do not change.
type Server struct {
	source     *settings.Source
	log        *slog.Logger
	client     *transport.Client
	identity   replica.Identity
	host       *replica.Host
	service    *batchjobs.Service
	membership *membership.Membership
	tasks      lifecycle.Tasks
}

// Run serves until ctx is done, then transfers leaderships, shuts down and closes the stores. It
// returns an error if the process cannot start or its disk fails. It does not announce its exit to the
// other members; their failure detector notices it.
func Run(ctx context.Context, source *settings.Source, options replica.Options, log *slog.Logger) error {
	current := source.Current()
	identities, err := replica.OpenIdentityStore(current.DataDir)
	if err != nil {
		return err
	}
	defer identities.Close()
	store, err := replica.OpenStore(current.DataDir)
	if err != nil {
		return err
	}
	defer store.Close()
	s := &Server{source: source, log: log, client: transport.NewClient()}
	if s.identity, err = replica.LoadOrCreateIdentity(identities, current, nil); err != nil {
		return err
	}
	if err := s.open(store, options); err != nil {
		return err
	}
	return s.serve(ctx)
}

// open creates the state machines and the host of the replicas.
func (s *Server) open(store *replica.Store, options replica.Options) (err error) {
	current := s.source.Current()
	s.service = &batchjobs.Service{
		Log: s.log, KeepResults: settings.Seconds(current.Bounds.StatusIntervalS + resultSlackS), OnDemand: s.reportDemand,
	}
	options.SnapshotBytes = cmp.Or(options.SnapshotBytes, current.Limits.DiskMB<<20/logsPerDisk)
	options.BatchCalls = current.FeatureGates.BatchedWrites
	s.host, err = replica.NewHost(replica.Config{
		Identity: s.identity, Store: store, Machine: s.service.StateMachine, Send: replica.NewSender(s.client).Send, Log: s.log, Options: options,
	})
	s.service.Host = s.host
	return err
}

// serve runs the server and the background loops until ctx is done or the disk fails.
func (s *Server) serve(ctx context.Context) error {
	current := s.source.Current()
	server, err := transport.Listen(ctx, current.PeerAddress(), map[string]http.Handler{
		rpc.ReplicationPathPrefix: rpc.NewReplicationServer(&replica.Service{Host: s.host}),
		rpc.LedgerPathPrefix:      rpc.NewLedgerServer(s.service),
	})
	if err != nil {
		return err
	}
	if s.membership, err = membership.Start(ctx, current, settings.ServesStorage, s.identity.ID, s.log, nil); err != nil {
		return err
	}
	tail := &feed.Client{
		Wait: feed.DefaultWait, Table: feed.NewTableWithoutHistory(), HTTP: s.client, Node: current.NodeName, Sources: s.controllers,
		OnEvents: s.followPlacements, Log: s.log,
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go s.host.Run() // shutdown stops it and waits for it
	s.tasks.Serve(s.log, "peer", server.Serve)
	s.tasks.Go(func() { s.service.Run(ctx) })
	s.tasks.Go(func() { tail.Run(ctx) })
	select {
	case <-ctx.Done():
	case <-s.host.Done():
	}
	s.log.Info("stopping")
	s.transferLeadership(ctx)
	stop()
	return s.shutdown(context.WithoutCancel(ctx), server)
}

// transferLeadership transfers the leadership of all groups to other processes, so that none of the
// groups has to wait for an election. Calls are served meanwhile.
func (s *Server) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lifecycle.HandOverTimeout)
	defer cancel()
	s.host.TransferLeadership(ctx)
}

// shutdown closes the server, waits for the tasks and stops the replicas.
func (s *Server) shutdown(ctx context.Context, server *transport.Server) error {
	ctx, cancel := context.WithTimeout(ctx, lifecycle.ShutdownTimeout)
	defer cancel()
	if err := server.Close(ctx); err != nil {
		s.log.Info("server did not close in time", "error", err)
	}
	s.tasks.Wait(ctx)
	if s.host.Failed() {
		return errDiskFailed
	}
	s.host.Stop()
	return nil
}

// reportDemand sends the demand of a shard to all live controllers, so that enough workers have the
// newest weights of its models: by model, the number of requests that the open jobs have to run
// concurrently. It does not block. A lost report is superseded by the next one.
func (s *Server) reportDemand(shard string, slots map[string]float64) {
	demand := &rpc.Demand{Shard: shard, Slots: slots}
	for _, m := range s.membership.View().Alive(settings.ServesControlPlane) {
		s.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
			defer cancel()
			if _, err := rpc.NewControlProtobufClient("http://"+m.Address, s.client).NoteDemand(ctx, demand); err != nil {
				s.log.Debug("reporting demand failed", "shard", shard, "controller", m.Name, "error", err)
			}
		})
	}
}

// controllers returns the addresses of the controllers that serve the feed.
func (s *Server) controllers() []string {
	return membership.ControlPlaneAddresses(s.membership.View().Alive(settings.ServesControlPlane), s.source.Current())
}
