package steward

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"saffronquay/internal/system/configuration"
	"saffronquay/internal/system/directory"
	"saffronquay/internal/system/registry"
	"saffronquay/internal/system/replica"
	"saffronquay/internal/system/rpc"
	"saffronquay/internal/system/settings"
)

const (
	maxBody       = 64 << 20
	submitTimeout = 1500 * time.Millisecond
	passTimeout   = 850 * time.Millisecond
)

func registryShard(service string) string { return registry.ShardOf(service) }

// routes are the calls of the operator, the trainers and the workers.
func (st *Steward) routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/api/Config.Replace", func(ctx *fasthttp.RequestCtx) { st.replace(ctx, false) })
	r.POST("/api/Config.Patch", func(ctx *fasthttp.RequestCtx) { st.replace(ctx, true) })
	r.GET("/api/Config.Get", st.get)
	r.POST("/api/version-put", st.nameVersion)
	r.POST("/api/Retire.Start/{node}", st.startRetire)
	r.GET("/api/Retire.Get/{node}", st.getRetire)
	r.POST("/api/Instances.Heartbeat/{id}", func(ctx *fasthttp.RequestCtx) { st.instance(ctx, false) })
	r.POST("/api/Instances.Deregister/{id}", func(ctx *fasthttp.RequestCtx) { st.instance(ctx, true) })
	r.HandleMethodNotAllowed = true
	return r.Handler
}

// answer is the body of every answer that has nothing else to say.
type answer struct {
	Error string `json:"error,omitempty"`
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = fasthttp.StatusInternalServerError, []byte("{}")
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func fail(ctx *fasthttp.RequestCtx, status int, message string) { reply(ctx, status, answer{message}) }

// decide has the directory decide on a command, and answers where it can't.
func (st *Steward) decide(ctx *fasthttp.RequestCtx, command *rpc.DirectoryCommand) *rpc.DirectoryResult {
	within, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	proposed := st.submit(within, directory.Shard, replica.Marshal(command))
	if proposed.Outcome != rpc.Outcome_DONE {
		fail(ctx, fasthttp.StatusServiceUnavailable, "no majority of the stewards answers")
		return nil
	}
	result := &rpc.DirectoryResult{}
	if err := proto.Unmarshal(proposed.Result, result); err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err.Error())
		return nil
	}
	return result
}

// replace takes a whole configuration, or a change of named items.
func (st *Steward) replace(ctx *fasthttp.RequestCtx, patch bool) {
	body := append([]byte(nil), ctx.PostBody()...)
	base, err := strconv.ParseUint(string(ctx.Request.Header.Peek("Base-Version")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "Base-Version: want a whole number")
		return
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "configuration: "+err.Error())
		return
	}
	if !patch {
		if _, err := configuration.Parse(body); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
	}
	result := st.decide(ctx, &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Replace{Replace: &rpc.ReplaceConfiguration{
		Base: base, Version: head.Version, Body: body, Digest: directory.Digest(base, patch, body), Patch: patch}}})
	switch {
	case result == nil:
	case result.Status == rpc.DirectoryStatus_DIRECTORY_OK:
		reply(ctx, fasthttp.StatusOK, answer{})
	case result.Status == rpc.DirectoryStatus_DIRECTORY_CONFLICT:
		fail(ctx, fasthttp.StatusPreconditionFailed, result.Message)
	default:
		fail(ctx, fasthttp.StatusBadRequest, result.Message)
	}
}

// get returns the newest configuration as the operator sent it.
func (st *Steward) get(ctx *fasthttp.RequestCtx) {
	result := st.decide(ctx, &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}})
	if result == nil {
		return
	}
	if len(result.Configuration) == 0 {
		fail(ctx, fasthttp.StatusNotFound, "no configuration has been taken yet")
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(result.Configuration)
}

// nameVersion notes a version of weights.
func (st *Steward) nameVersion(ctx *fasthttp.RequestCtx) {
	var named struct {
		Model   string `json:"model"`
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &named); err != nil || named.Model == "" || named.Version == 0 {
		fail(ctx, fasthttp.StatusBadRequest, "want a model and a version above 0")
		return
	}
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: named.Model, Version: named.Version}}}
	if st.decide(ctx, command) != nil {
		reply(ctx, fasthttp.StatusOK, answer{})
	}
}

// startRetire asks for a storage machine to be emptied.
func (st *Steward) startRetire(ctx *fasthttp.RequestCtx) {
	node := ctx.UserValue("node").(string)
	retirements := st.directory.Retirements()
	if _, begun := retirements[node]; begun {
		reply(ctx, fasthttp.StatusOK, answer{})
		return
	}
	known, staying := false, 0
	for _, m := range st.machines(settings.ServesStorage) {
		known = known || m.Node == node
		if m.Node != node && m.Alive && !m.Retiring {
			staying++
		}
	}
	for _, p := range st.directory.Placements() {
		for _, r := range p.Replicas {
			known = known || r.Node == node && st.machine(p.Group) == nil
		}
	}
	switch {
	case !known:
		fail(ctx, fasthttp.StatusNotFound, "no such storage machine")
		return
	case staying < st.settings.GroupSize():
		fail(ctx, fasthttp.StatusConflict, "too few storage machines would be left")
		return
	}
	if st.decide(ctx, &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.RetireState{Node: node}}}) != nil {
		reply(ctx, fasthttp.StatusOK, answer{})
	}
}

// getRetire tells how far the emptying of a storage machine is.
func (st *Steward) getRetire(ctx *fasthttp.RequestCtx) {
	completed, begun := st.directory.Retirements()[ctx.UserValue("node").(string)]
	if !begun {
		fail(ctx, fasthttp.StatusNotFound, "this machine is not being emptied")
		return
	}
	state := "active"
	if completed {
		state = "completed"
	}
	reply(ctx, fasthttp.StatusOK, struct {
		State string `json:"state"`
	}{state})
}

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
func (st *Steward) instance(ctx *fasthttp.RequestCtx, leaving bool) {
	id := ctx.UserValue("id").(string)
	instance, err := readHeartbeat(id, ctx.PostBody())
	if err != nil && !leaving {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if leaving {
		instance = st.known(id)
		if instance == nil {
			instance = &rpc.Instance{Id: id}
		}
	}
	outcome, owner := st.pass(&rpc.HeartbeatRequest{Instance: instance, Leaving: leaving})
	if outcome != rpc.Outcome_DONE {
		fail(ctx, fasthttp.StatusServiceUnavailable, "the owner of the service's shard doesn't answer")
		return
	}
	reply(ctx, fasthttp.StatusOK, heartbeatAnswer{st.controlAddress(owner)})
}

func readHeartbeat(id string, text []byte) (*rpc.Instance, error) {
	var b heartbeatBody
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, err
	}
	instance := &rpc.Instance{Id: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Capacity: b.Capacity, Sequence: b.Sequence,
		Draining: strings.EqualFold(b.State, "draining")}
	for _, m := range b.Models {
		instance.Models = append(instance.Models, &rpc.ModelWeights{Name: m.Name, Version: m.Version})
	}
	return instance, nil
}

// known finds a worker by its id alone.
func (st *Steward) known(id string) *rpc.Instance {
	for _, sh := range st.shards {
		if i := sh.registry.Instance(id); i != nil {
			return i
		}
	}
	return nil
}

// pass gives a heartbeat to the owner of the service's shard, and tells who that is.
func (st *Steward) pass(r *rpc.HeartbeatRequest) (outcome rpc.Outcome, owner string) {
	ctx, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	sh := st.shards[registryShard(r.Instance.Service)]
	for {
		response := sh.heartbeat(ctx, r)
		if response.Outcome == rpc.Outcome_DONE {
			return response.Outcome, st.identity.Address
		}
		if address := response.LeaderAddress; address != "" && address != st.identity.Address {
			passed, err := rpc.NewControlProtobufClient("http://"+address, st.client).Heartbeat(ctx, r)
			if err == nil && passed.Outcome == rpc.Outcome_DONE {
				return passed.Outcome, address
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return rpc.Outcome_UNAVAILABLE, ""
		}
	}
}
