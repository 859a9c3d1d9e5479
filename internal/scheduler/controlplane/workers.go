package controlplane

import (
	"context"
	"encoding/json"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	passTimeout = 850 * time.Millisecond // a worker gives a call up after a second
	passPause   = 50 * time.Millisecond
)

// heartbeatBody is what a worker says of itself.
type heartbeatBody struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity uint32 `json:"capacity"`
	State    string `json:"state"`
	Sequence uint64 `json:"sequence"`
	Models   []struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
	} `json:"models"`
}

// heartbeatAnswer names the steward that owns the worker's shard, so that later heartbeats go there at once.
type heartbeatAnswer struct {
	Endpoint string `json:"heartbeatEndpoint,omitempty"`
}

// instance takes a worker's heartbeat or its leave.
func (st *Server) instance(ctx *fasthttp.RequestCtx, leaving bool) {
	id := ctx.UserValue("id").(string)
	if leaving {
		st.leave(ctx, id)
		return
	}
	instance, err := readHeartbeat(id, ctx.PostBody())
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	within, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	owner, ok := st.pass(within, registry.ShardOf(instance.Service), &rpc.HeartbeatRequest{Instance: instance})
	if !ok {
		fail(ctx, fasthttp.StatusServiceUnavailable, "the owner of the service's shard doesn't answer")
		return
	}
	reply(ctx, fasthttp.StatusOK, heartbeatAnswer{st.controlAddress(owner)})
}

// leave takes a worker's leave. The call names no service, and this steward may not have heard of the worker yet, so every shard has to note
// it: a leave that is acknowledged but noted at the wrong shard would have requests sent to the worker.
func (st *Server) leave(ctx *fasthttp.RequestCtx, id string) {
	within, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	noted := make(chan bool, len(st.shards))
	for name := range st.shards {
		go func() {
			_, ok := st.pass(within, name, &rpc.HeartbeatRequest{Shard: name, Instance: &rpc.Instance{Id: id}, Leaving: true})
			noted <- ok
		}()
	}
	for range st.shards {
		if !<-noted {
			fail(ctx, fasthttp.StatusServiceUnavailable, "not all owners of shards answer")
			return
		}
	}
	reply(ctx, fasthttp.StatusOK, answer{})
}

func readHeartbeat(id string, text []byte) (*rpc.Instance, error) {
	var b heartbeatBody
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, err
	}
	instance := &rpc.Instance{
		Id: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Capacity: b.Capacity, Sequence: b.Sequence,
		Draining: strings.EqualFold(b.State, "draining"),
	}
	for _, m := range b.Models {
		instance.Models = append(instance.Models, &rpc.ModelWeights{Name: m.Name, Version: m.Version})
	}
	return instance, nil
}

// pass gives a heartbeat or a leave to the owner of a shard, and tells who that is.
func (st *Server) pass(ctx context.Context, name string, r *rpc.HeartbeatRequest) (owner string, ok bool) {
	sh := st.shards[name]
	for {
		response := sh.heartbeat(ctx, r)
		if response.Outcome == rpc.Outcome_DONE {
			return st.identity.Address, true
		}
		if address := response.LeaderAddress; address != "" && address != st.identity.Address {
			passed, err := rpc.NewControlProtobufClient("http://"+address, st.client).Heartbeat(ctx, r)
			if err == nil && passed.Outcome == rpc.Outcome_DONE {
				return address, true
			}
		}
		select {
		case <-time.After(passPause):
		case <-ctx.Done():
			return "", false
		}
	}
}
