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

// errDiskFailed ends the role: the state of its replicas could not be read.
var errDiskFailed = errors.New("storage: disk failed, replicas stopped")

const (
	// demandTimeout bounds a call that reports the demand to a controller.
	demandTimeout = 400 * time.Millisecond
	// logsPerDisk is how many logs of the largest length fit on the disk: one shard's log may take so large a part of it before it is replaced
	// by a snapshot.
	logsPerDisk = 4
	// resultSlackS is added to the seconds for which results have to be kept.
	resultSlackS = 30
)

// Server is a running process of this role. Its fields are set before it serves and stay.
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

// Run serves until ctx ends, then closes what is open. It returns an error where the process can't start or its disk fails. Other members
// are not notified: they detect the end.
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

// open prepares the state machines and the host of the replicas.
func (s *Server) open(store *replica.Store, options replica.Options) (err error) {
	current := s.source.Current()
	s.service = &batchjobs.Service{
		Log: s.log, KeepResults: settings.Seconds(current.Bounds.StatusIntervalS + resultSlackS), Demand: s.reportDemand,
	}
	options.SnapshotBytes = cmp.Or(options.SnapshotBytes, current.Limits.DiskMB<<20/logsPerDisk)
	options.BatchCalls = current.FeatureGates.BatchedWrites
	s.host, err = replica.NewHost(replica.Config{
		Identity: s.identity, Store: store, Machine: s.service.StateMachine, Send: replica.NewSender(s.client).Send, Log: s.log, Options: options,
	})
	s.service.Host = s.host
	return err
}

// serve runs the server and the loops until ctx ends or the disk fails.
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
	go s.host.Run() // shutdown waits for it
	s.tasks.Serve(s.log, "peer", server.Serve)
	s.tasks.Go(func() { s.service.Run(ctx) })
	s.tasks.Go(func() { tail.Run(ctx) })
	select {
	case <-ctx.Done():
	case <-s.host.Done():
	}
	s.log.Info("stopping")
	s.handOver(ctx)
	stop()
	return s.shutdown(context.WithoutCancel(ctx), server)
}

// handOver hands the leadership of all groups to other processes, so that none of them waits for an election. Calls are answered meanwhile.
func (s *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lifecycle.HandOverTimeout)
	defer cancel()
	s.host.HandOver(ctx)
}

// shutdown closes the server, waits for the tasks and stops the replicas.
func (s *Server) shutdown(ctx context.Context, server *transport.Server) error {
	ctx, cancel := context.WithTimeout(ctx, lifecycle.ShutdownTimeout)
	defer cancel()
	if err := server.Close(ctx); err != nil {
		s.log.Info("server not closed in time", "error", err)
	}
	s.tasks.Wait(ctx)
	if s.host.Failed() {
		return errDiskFailed
	}
	s.host.Stop()
	return nil
}

// reportDemand sends all live controllers how many requests the open jobs of a shard need to run concurrently, by model, so that enough
// workers have the models' newest weights. It doesn't block. A report that is lost is made up by the next one.
func (s *Server) reportDemand(shard string, slots map[string]float64) {
	demand := &rpc.Demand{Shard: shard, Slots: slots}
	for _, m := range s.membership.View().Alive(settings.ServesControlPlane) {
		s.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
			defer cancel()
			if _, err := rpc.NewControlProtobufClient("http://"+m.Address, s.client).NoteDemand(ctx, demand); err != nil {
				s.log.Debug("demand not delivered", "shard", shard, "controller", m.Name, "error", err)
			}
		})
	}
}

// controllers returns the addresses of the feed's sources.
func (s *Server) controllers() []string {
	return membership.ControlPlaneAddresses(s.membership.View().Alive(settings.ServesControlPlane), s.source.Current())
}
