package replica

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"time"
)

// retryInterval is the delay between two attempts to have a command committed. While a forwarded
// attempt waits for its reply, the same interval is used to check whether the leader has changed.
const retryInterval = 60 * time.Millisecond

// Submit makes the leader of a group, in any process, commit and apply a command. It retries the
// command until one attempt is DONE or ctx ends, so the command must be idempotent. If no attempt
// is DONE, the outcome is OUTCOME_UNKNOWN if any of them may have taken effect, whatever the
// outcome of later ones; otherwise it is that of the last attempt, and the command has no effect.
func Submit(ctx context.Context, h *Host, client *transport.Client, group string, command []byte) ProposalResult {
	s := submission{host: h, client: client, group: group, command: command}
	return untilDone(ctx, s.attempt)
}

// untilDone makes attempts until one is DONE or ctx ends, and returns their combined outcome; see
// Submit.
func untilDone(ctx context.Context, attempt func(context.Context) ProposalResult) ProposalResult {
	uncertain := false // an attempt may have taken effect
	for {
		result := attempt(ctx)
		if result.Outcome == rpc.Outcome_DONE {
			return result
		}
		uncertain = uncertain || result.Outcome == rpc.Outcome_OUTCOME_UNKNOWN
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			if uncertain {
				result.Outcome = rpc.Outcome_OUTCOME_UNKNOWN
			}
			return result
		}
	}
}

// submission is a command to submit to a group.
type submission struct {
	host    *Host
	client  *transport.Client
	group   string
	command []byte
}

// attempt makes one attempt to have the leader commit the command. Without a known leader the
// outcome is UNAVAILABLE.
func (s *submission) attempt(ctx context.Context) ProposalResult {
	self, address := s.host.Status(s.group).NextHop()
	switch {
	case self:
		return s.host.Propose(ctx, s.group, s.command)
	case address != "":
		return s.forward(ctx, address)
	}
	return ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
}

// forward sends the command to the leader at an address, and waits for its reply for at most
// proposeTimeout. It stops waiting when this replica learns of another leader, or loses its leader:
// the old one may have lost power, and would delay the command until the call times out.
func (s *submission) forward(ctx context.Context, address string) ProposalResult {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answered := make(chan ProposalResult, 1) // buffered, since the call may end after forward has returned
	go func() { answered <- s.call(ctx, address) }()
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case result := <-answered:
			return result
		case <-ticker.C:
			if _, leader := s.host.Status(s.group).NextHop(); leader != address {
				return ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
			}
		}
	}
}

// call makes the call to a leader. It is bounded by ctx.
func (s *submission) call(ctx context.Context, address string) ProposalResult {
	client := rpc.NewReplicationProtobufClient("http://"+address, s.client)
	response, err := client.Propose(ctx, &rpc.ProposeRequest{Group: s.group, Command: s.command})
	if errors.Is(err, transport.ErrNotSent) {
		return ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	}
	if err != nil {
		return ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
	}
	return ProposalResult{Outcome: response.Outcome, Result: response.Result}
}
