// Package storage is the role that keeps batch jobs: it holds replicas of the ledger's shards and answers the gatherers for those that it
// owns.
package storage

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/membership"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"saffronquay/internal/scheduler/transport"
	"slices"
	"time"
)

// Storage is a running process of this role.
type Storage struct {
	source     *settings.Source
	log        *slog.Logger
	identity   replica.Identity
	host       *replica.Host
	service    *batchjobs.Service
	client     *transport.Client
	membership *membership.Membership
}

// Run serves until the context ends.
func Run(ctx context.Context, source *settings.Source, options replica.Options, log *slog.Logger) error {
	s := source.Current()
	facts, err := replica.OpenIdentityStore(s.DataDir)
	if err != nil {
		return err
	}
	defer facts.Close()
	store, err := replica.OpenStore(s.DataDir)
	if err != nil {
		return err
	}
	defer store.Close()
	st := &Storage{source: source, log: log, client: transport.NewClient()}
	if st.identity, err = replica.LoadOrCreateIdentity(facts, s); err != nil {
		return err
	}
	st.service = &batchjobs.Service{Log: log, KeepResults: settings.Seconds(s.Bounds.StatusIntervalS + keepSlackS), Demand: st.demand}
	sender := replica.NewSender(st.client)
	options.SnapshotBytes = cmp.Or(options.SnapshotBytes, s.Limits.DiskMB<<20/diskShare)
	options.BatchCalls = s.FeatureGates.BatchedWrites
	if st.host, err = replica.NewHost(replica.Config{
		Identity: st.identity, Store: store, Machine: st.service.StateMachine, Send: sender.Send, Log: log,
		Options: options,
	}); err != nil {
		return err
	}
	st.service.Host = st.host
	server, err := transport.Listen(s.PeerAddress(), map[string]http.Handler{
		rpc.ReplicationPathPrefix: rpc.NewReplicationServer(&replica.Service{Host: st.host}),
		rpc.LedgerPathPrefix:      rpc.NewLedgerServer(st.service),
	})
	if err != nil {
		return err
	}
	if st.membership, err = membership.Start(s, settings.ServesStorage, st.identity.ID, log, nil); err != nil {
		return err
	}
	tail := &feed.Client{Wait: feed.DefaultWait, Table: feed.NewTableWithoutHistory(), HTTP: st.client, Node: s.NodeName, Sources: st.stewards, OnEvents: st.heard, Log: log}
	go st.host.Run()
	go server.Serve()
	go st.service.Run(ctx)
	go tail.Run(ctx)
	select {
	case <-ctx.Done():
	case <-st.host.Done():
	}
	log.Info("stopping")
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	server.Close(end)
	if st.host.Failed() {
		return fmt.Errorf("storage: the disk failed")
	}
	st.host.Stop()
	return nil
}

// demandTimeout bounds a call that tells a steward of the demand.
const demandTimeout = 400 * time.Millisecond

// demand tells the stewards what the open jobs need, so that enough workers hold the models' newest weights.
func (st *Storage) demand(shard string, slots map[string]float64) {
	for _, m := range st.membership.View().Alive(settings.ServesControlPlane) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
			defer cancel()
			rpc.NewControlProtobufClient("http://"+m.Address, st.client).NoteDemand(ctx, &rpc.Demand{Shard: shard, Slots: slots})
		}()
	}
}

// diskShare is the part of the disk, one in so many, that the log of one shard may take before it is replaced by a snapshot.
const diskShare = 4

// keepSlackS is added to the time that results have to be kept.
const keepSlackS = 30

func (st *Storage) stewards() (addresses []string) {
	s := st.source.Current()
	for _, m := range st.membership.View().Alive(settings.ServesControlPlane) {
		addresses = append(addresses, m.Address)
	}
	for _, seed := range s.Seeds {
		if address := s.PeerAddressOf(seed); address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// heard acts on new placements: this machine founds a group that it is a founder of, and leads a group that it leads to its wanted
// replicas.
func (st *Storage) heard(events []*rpc.FeedEvent) {
	for _, e := range events {
		p := e.GetPlacement()
		if p == nil || st.service.StateMachine(p.Group) == nil {
			continue
		}
		own := slices.ContainsFunc(p.Replicas, func(r *rpc.Replica) bool { return r.Id == st.identity.ID })
		if p.Founding && own {
			st.host.CreateGroup(p.Group, p.Replicas)
		}
		st.host.SetWanted(p)
	}
}
