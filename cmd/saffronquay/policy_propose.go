package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os/user"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strings"
	"time"
)

// The values of wire.Answer.End.
const (
	answerPending = 0 // the leader has accepted the proposal, which is not decided yet
	answerMade    = 1 // the change is in force
	answerRefused = 2 // the change will never be in force, for the reason in the answer
	answerUnknown = 3 // the voter is not the leader, or does not know the outcome
)

const (
	// proposeInterval is the polling interval for the outcome of a proposal.
	proposeInterval = 50 * time.Millisecond
	// partialStableTime is how long a version has to be reported as in force in some regions only
	// before that counts as the outcome.
	partialStableTime = time.Second
)

// submission is the state of one proposal in flight. It is not safe for concurrent use.
type submission struct {
	cli      *cli
	proposal proposal
	request  *wire.Propose // the same in every attempt: voters use its nonce to accept it only once
	next     int           // number of failovers so far; modulo the number of voters, the index of the next voter to call
	sent     bool          // a voter has received the proposal, or may have
	lastErr  error         // error of the last attempt without an answer

	partial      *wire.Answer // latest answer that reports the version as in force in some regions only
	partialSince time.Time    // time of the first such answer
}

// propose sends a proposal to the voters in turn until the leader accepts it, and waits for the
// decision. text is the policy, or nil if the proposal is not a version. Without a decision after
// p.wait the outcome is in doubt, and the command ends with exitUnreachable.
func (c *cli) propose(ctx context.Context, p proposal, text []byte) error {
	voters, err := c.findVoters(p)
	if err != nil {
		return err
	}
	if p.base < 0 {
		if p.base, err = c.versionInForce(ctx); err != nil {
			return err
		}
	}
	s := &submission{cli: c, proposal: p, request: newProposeRequest(p, text)}
	for began := time.Now(); time.Since(began) < p.wait; time.Sleep(proposeInterval) {
		answer, err := peering.CallPolicyNode(voters[s.next%len(voters)], s.request, c.timeout)
		if err != nil {
			s.failOver(err)
			continue
		}
		if ended, err := s.handle(answer); ended {
			return err
		}
	}
	return s.timedOut()
}

// newProposeRequest returns the request for a proposal, on behalf of the current system user if
// known.
func newProposeRequest(p proposal, text []byte) *wire.Propose {
	var random [8]byte
	rand.Read(random[:])                            // never returns an error
	nonce := binary.BigEndian.Uint64(random[:]) | 1 // never zero
	request := &wire.Propose{Nonce: nonce, Base: uint64(p.base), Text: text, By: "operator", Dry: p.dry, Abort: p.abort, Keep: p.keep}
	if p.change != nil {
		p.change(request)
	}
	if u, err := user.Current(); err == nil {
		request.By = u.Username
	}
	return request
}

// failOver records that a voter gave no answer, and makes the next attempt go to the next voter.
func (s *submission) failOver(err error) {
	s.lastErr = err
	s.sent = true // the voter may have received it
	s.next++
}

// handle processes an answer. It reports whether the command ends with it, and the command's error.
func (s *submission) handle(answer *wire.Answer) (ended bool, err error) {
	switch answer.End {
	case answerPending:
		s.sent = true
		return false, nil
	case answerMade:
		return s.made(answer)
	case answerRefused:
		return true, s.refused(answer)
	default: // answerUnknown
		s.next++
		return false, nil
	}
}

// made reports a change that is in force. A version that is in force in some regions only ends the
// command only after partialStableTime, because a newly elected leader has not heard from all
// regions yet.
func (s *submission) made(answer *wire.Answer) (ended bool, err error) {
	if s.proposal.abort {
		return true, s.cli.print(map[string]any{"ok": true}, plainText("aborted\n"))
	}
	if done := s.proposal.done; done != "" {
		return true, s.cli.print(map[string]any{"ok": true, "what": done}, plainText(done+"\n"))
	}
	if len(answer.Apart) > 0 {
		if s.partial == nil {
			s.partialSince = time.Now()
		}
		s.partial = answer
		if len(answer.InForce) == 0 || time.Since(s.partialSince) < partialStableTime {
			return false, nil
		}
	}
	return true, s.cli.reportInForce(answer)
}

// refused reports a proposal that will never be in force. A dry run ends this way even if all
// gatherers accept the version.
func (s *submission) refused(answer *wire.Answer) error {
	if opinion, dry := strings.CutPrefix(answer.Reason, "dry: "); dry && s.proposal.dry {
		return s.cli.print(map[string]any{"good": true}, plainText("good: "+opinion+"\n"))
	}
	return failed(fmt.Errorf("refused: %s", answer.Reason))
}

// timedOut reports a proposal whose outcome is unknown after the maximum wait.
func (s *submission) timedOut() error {
	switch {
	case s.partial != nil:
		return s.cli.reportInForce(s.partial)
	case !s.sent:
		return unreachable(errors.New("no leader among the voters: nothing was proposed"))
	case s.lastErr != nil:
		return unreachable(fmt.Errorf("outcome of the proposal in doubt: %w; see 'policy status'", s.lastErr))
	default:
		return unreachable(errors.New("outcome of the proposal in doubt: not decided within the wait; see 'policy status'"))
	}
}

// reportInForce prints that a version is in force and, with regions, in which of them. It ends the
// command with exitPartial if a region has not confirmed the version.
func (c *cli) reportInForce(answer *wire.Answer) error {
	result := map[string]any{"in_force": true, "number": answer.Number}
	line := fmt.Sprintf("version %d is in force", answer.Number)
	if regions := len(answer.InForce) + len(answer.Apart); regions > 0 {
		result["regions"], result["apart"] = append([]string{}, answer.InForce...), append([]string{}, answer.Apart...)
		line += strings.TrimSuffix(fmt.Sprintf(" in %d of %d regions: %s", len(answer.InForce), regions, strings.Join(answer.InForce, ", ")), ": ")
	}
	if len(answer.Apart) > 0 {
		line += "; not in " + strings.Join(answer.Apart, ", ") + ", as far as is known: it takes effect there after they reconnect"
	}
	err := c.print(result, func(w io.Writer) { fmt.Fprintln(w, line) })
	if err != nil || len(answer.Apart) == 0 {
		return err
	}
	return &exitError{code: exitPartial}
}

// findVoters returns the addresses that a proposal may be sent to: those of --at, else those in the
// operator's file.
func (c *cli) findVoters(p proposal) ([]netip.AddrPort, error) {
	if len(p.at) == 0 {
		return c.readVoters(p.region)
	}
	var addresses []netip.AddrPort
	for _, text := range p.at {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--at: %w", err)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// readVoters returns the addresses of a region's voters in the operator's file. Without a region it
// returns the voters of the global agreement if there is one, else all voters.
func (c *cli) readVoters(region string) ([]netip.AddrPort, error) {
	operator, err := c.readRolloutOperator("the voters' addresses with --at, or the operator's file with --file")
	if err != nil {
		return nil, err
	}
	rollout := operator.Rollout
	names := rollout.Voters
	if region != "" {
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return rollout.Regions[name] != region })
		if len(names) == 0 {
			return nil, failed(fmt.Errorf("no voters in region %q according to the file", region))
		}
	} else if len(rollout.Global) > 0 {
		names = rollout.Global
	}
	var addresses []netip.AddrPort
	for _, name := range names {
		addresses = append(addresses, rollout.Members[name])
	}
	return addresses, nil
}
