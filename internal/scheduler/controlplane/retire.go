package controlplane

import (
	"context"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"time"

	"github.com/valyala/fasthttp"
)

// A machine is emptied by the directory's leader. Whether an order for it is taken or refused is that leader's to say: any other steward may
// be cut off, and know neither the machines nor the orders that were taken.

// stayingDeadMS is for how long a dead machine still counts as staying when an order is judged: most of them come back.
const stayingDeadMS = 30_000

// startRetire asks for a storage machine to be emptied.
func (st *Server) startRetire(ctx *fasthttp.RequestCtx) {
	response := st.askRetire(&rpc.RetireRequest{Node: ctx.UserValue("node").(string), Start: true})
	switch {
	case response == nil:
		fail(ctx, fasthttp.StatusServiceUnavailable, "the directory's leader doesn't answer")
	case response.State == rpc.RetireState_RETIRE_NO_SUCH_MACHINE:
		fail(ctx, fasthttp.StatusNotFound, "no such storage machine")
	case response.State == rpc.RetireState_RETIRE_TOO_FEW_LEFT:
		fail(ctx, fasthttp.StatusConflict, "too few storage machines would be left")
	default:
		reply(ctx, fasthttp.StatusOK, answer{})
	}
}

// getRetire tells how far the emptying of a storage machine is.
func (st *Server) getRetire(ctx *fasthttp.RequestCtx) {
	response := st.askRetire(&rpc.RetireRequest{Node: ctx.UserValue("node").(string)})
	state := "active"
	switch {
	case response == nil:
		fail(ctx, fasthttp.StatusServiceUnavailable, "the directory's leader doesn't answer")
		return
	case response.State == rpc.RetireState_RETIRE_NOT_ASKED:
		fail(ctx, fasthttp.StatusNotFound, "this machine is not being emptied")
		return
	case response.State == rpc.RetireState_RETIRE_COMPLETED:
		state = "completed"
	}
	reply(ctx, fasthttp.StatusOK, struct {
		State string `json:"state"`
	}{state})
}

// askRetire asks the directory's leader; nil where none answers.
func (st *Server) askRetire(r *rpc.RetireRequest) *rpc.RetireResponse {
	ctx, cancel := context.WithTimeout(context.Background(), passTimeout)
	defer cancel()
	for {
		response, _ := st.Retire(ctx, r)
		if response.Outcome == rpc.Outcome_NOT_LEADER && response.LeaderAddress != "" {
			passed, err := rpc.NewControlProtobufClient("http://"+response.LeaderAddress, st.client).Retire(ctx, r)
			if err == nil {
				response = passed
			}
		}
		if response.Outcome == rpc.Outcome_DONE {
			return response
		}
		select {
		case <-time.After(passPause):
		case <-ctx.Done():
			return nil
		}
	}
}

// Retire implements rpc.Control.
func (st *Server) Retire(ctx context.Context, r *rpc.RetireRequest) (*rpc.RetireResponse, error) {
	status := st.host.Status(directory.Shard)
	switch {
	case status == nil:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
	case !status.HasLease(st.host.Now()):
		return &rpc.RetireResponse{Outcome: rpc.Outcome_NOT_LEADER, LeaderAddress: status.LeaderAddress}, nil
	}
	completed, begun := st.directory.Retirements()[r.Node]
	switch {
	case completed:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE, State: rpc.RetireState_RETIRE_COMPLETED}, nil
	case begun:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE, State: rpc.RetireState_RETIRE_ACTIVE}, nil
	case !r.Start:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE}, nil
	case st.host.Now()-status.LeaderSince < settleTime.Milliseconds():
		return &rpc.RetireResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil // machines that were not heard of yet would seem to be missing
	}
	if refusal := RetireRefusal(r.Node, st.machines(settings.ServesStorage), st.ledgerPlacements(), st.settings.GroupSize()); refusal != rpc.RetireState_RETIRE_NOT_ASKED {
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE, State: refusal}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	command := replica.Marshal(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: r.Node}}})
	return &rpc.RetireResponse{Outcome: st.host.Propose(ctx, directory.Shard, command).Outcome, State: rpc.RetireState_RETIRE_ACTIVE}, nil
}

// RetireRefusal returns why a machine can't be emptied; RETIRE_NOT_ASKED where nothing speaks against it.
func RetireRefusal(node string, machines []placement.Machine, placements []*rpc.Placement, size int) rpc.RetireState {
	known, staying := false, 0
	for _, m := range machines {
		known = known || m.Node == node
		if m.Node != node && !m.Retiring && (m.Alive || m.DeadMS < stayingDeadMS) {
			staying++
		}
	}
	for _, p := range placements {
		for _, r := range p.Replicas {
			known = known || r.Node == node
		}
	}
	switch {
	case !known:
		return rpc.RetireState_RETIRE_NO_SUCH_MACHINE
	case staying < size:
		return rpc.RetireState_RETIRE_TOO_FEW_LEFT
	}
	return rpc.RetireState_RETIRE_NOT_ASKED
}

// ledgerPlacements are the wanted replicas of the groups that storage machines hold.
func (st *Server) ledgerPlacements() (list []*rpc.Placement) {
	for name, p := range st.directory.Placements() {
		if st.machine(name) == nil {
			list = append(list, p)
		}
	}
	return list
}

// retire finds out which machines that are to be emptied hold nothing any more.
func (st *Server) retire(ctx context.Context) {
	for node, completed := range st.directory.Retirements() {
		if completed || !st.emptied(ctx, node) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		command := replica.Marshal(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: node, Completed: true}}})
		st.host.Propose(ctx, directory.Shard, command)
		cancel()
	}
}

// emptied tells whether no group has a replica on a machine, as the groups' leaders say.
func (st *Server) emptied(ctx context.Context, node string) bool {
	placements := st.directory.Placements()
	for _, name := range st.ledgerGroups() {
		wanted := placements[name]
		if wanted == nil {
			continue
		}
		for _, r := range wanted.Replicas {
			if r.Node == node {
				return false
			}
		}
		if !st.settled(ctx, wanted) {
			return false
		}
	}
	return true
}

// settled tells whether a group's leader says that its members are the wanted ones and hold everything.
func (st *Server) settled(ctx context.Context, wanted *rpc.Placement) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, r := range wanted.Replicas {
		response, err := rpc.NewReplicationProtobufClient("http://"+r.Address, st.client).Status(ctx, &rpc.StatusRequest{})
		if err != nil {
			continue
		}
		for _, g := range response.Groups {
			if g.Group == wanted.Group && MatchesPlacement(g, wanted) {
				return true
			}
		}
	}
	return false
}

// MatchesPlacement tells whether a group's leader says, while it holds its lease, that the group's members are the wanted ones, that this is agreed
// on, and that each of them holds on its disk all that was there before. A machine that isn't among them holds nothing that they lack.
func MatchesPlacement(g *rpc.GroupStatus, wanted *rpc.Placement) bool {
	return g.Leads && g.Settled && g.HeldByAll && len(g.Membership.GetLearners()) == 0 && placement.Same(g.Membership.GetVoters(), wanted.Replicas)
}
