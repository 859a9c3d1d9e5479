package controlplane

import (
	"context"
	"encoding/json"
	"saffronquay/internal/scheduler/lifecycle"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
	"strings"

	"github.com/valyala/fasthttp"
)

// heartbeatBody is a worker's report of itself.
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

// stateDraining is the case-insensitive state of a worker that accepts no new requests.
const stateDraining = "draining"

// heartbeatResponse has the address of the controller that owns the worker's shard, so that the
// worker sends later heartbeats to it directly.
type heartbeatResponse struct {
	Endpoint string `json:"heartbeatEndpoint,omitempty"`
}

// receiveHeartbeat handles a worker's heartbeat. It replies when the owner of its service's shard
// has processed it.
func (s *Server) receiveHeartbeat(ctx context.Context, request *fasthttp.RequestCtx) {
	instance, err := readHeartbeat(pathValue(request, "id"), request.PostBody())
	if err != nil {
		fail(request, fasthttp.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	owner, ok := s.forwardHeartbeat(ctx, registry.ShardOf(instance.Service), &rpc.HeartbeatRequest{Instance: instance})
	if !ok {
		fail(request, fasthttp.StatusServiceUnavailable, "owner of the service's registry shard did not reply in time")
		return
	}
	reply(request, fasthttp.StatusOK, heartbeatResponse{s.controlAddress(owner)})
}

// deregister handles the deregistration of a worker. The request does not contain the service, and
// this controller may not know the worker yet, so every shard has to commit it: if only the wrong
// shard did, gatherers would continue to send requests to the worker after the acknowledgement.
func (s *Server) deregister(ctx context.Context, request *fasthttp.RequestCtx) {
	id := pathValue(request, "id")
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	committed := make(chan bool, len(s.shards))
	for name := range s.shards {
		go func() { // ends with ctx at the latest; the channel is buffered for all results
			_, ok := s.forwardHeartbeat(ctx, name, &rpc.HeartbeatRequest{Shard: name, Instance: &rpc.Instance{Id: id}, Leaving: true})
			committed <- ok
		}()
	}
	for range s.shards {
		if !<-committed {
			fail(request, fasthttp.StatusServiceUnavailable, "not all owners of registry shards replied in time")
			return
		}
	}
	reply(request, fasthttp.StatusOK, emptyBody{})
}

// readHeartbeat parses the body of a heartbeat. The result does not refer to the body's buffer.
func readHeartbeat(id string, text []byte) (*rpc.Instance, error) {
	var b heartbeatBody
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, err
	}
	instance := &rpc.Instance{
		Id: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Capacity: b.Capacity, Sequence: b.Sequence,
		Draining: strings.EqualFold(b.State, stateDraining),
	}
	for _, m := range b.Models {
		instance.Models = append(instance.Models, &rpc.ModelWeights{Name: m.Name, Version: m.Version})
	}
	return instance, nil
}

// forwardHeartbeat has the owner of a shard process a heartbeat or a deregistration. It retries
// until ctx ends. It returns the peer address of the owner, and whether the owner processed it.
func (s *Server) forwardHeartbeat(ctx context.Context, name string, r *rpc.HeartbeatRequest) (owner string, ok bool) {
	sh := s.shards[name]
	for {
		response := sh.heartbeat(ctx, r)
		if response.Outcome == rpc.Outcome_DONE {
			return s.identity.Address, true
		}
		if address := response.LeaderAddress; address != "" && address != s.identity.Address {
			forwarded, err := s.controlClient(address).Heartbeat(ctx, r)
			if err == nil && forwarded.Outcome == rpc.Outcome_DONE {
				return address, true
			}
		}
		if !lifecycle.Sleep(ctx, forwardBackoff) {
			return "", false
		}
	}
}
