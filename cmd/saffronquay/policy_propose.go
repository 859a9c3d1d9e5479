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
	answerPending = 0 // the leader has the proposal, and it is not decided yet
	answerMade    = 1 // it is in force
	answerRefused = 2 // it never comes into force, for the answer's reason
	answerUnknown = 3 // the voter does not lead, or does not know the outcome
)

const (
	// proposeInterval is the pause between two attempts to learn the outcome of a proposal.
	proposeInterval = 50 * time.Millisecond
	// partialStableTime is how long a version has to be reported as in force in some regions only before that counts as the outcome.
	partialStableTime = time.Second
)

// submission is one proposal on its way. It belongs to one goroutine.
type submission struct {
	cli      *cli
	proposal proposal
	request  *wire.Propose // the same, with one nonce, in every attempt: voters accept it once
	next     int           // counts the voters that were passed over; the next attempt goes to the voter of that number, counted round
	sent     bool          // a voter has the proposal, or may have it
	lastErr  error         // of the last attempt that got no answer

	partial      *wire.Answer // the latest answer by which the version is not in force in all regions
	partialSince time.Time    // when the first such answer came
}

// propose sends a proposal to one voter after the other until the leader accepts it, and waits for the decision.
// text is the policy; nil where the proposal is not a version. After p.wait without a decision the outcome is in doubt, and the command
// ends with exitUnreachable.
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
			s.passOver(err)
			continue
		}
		if ended, err := s.handle(answer); ended {
			return err
		}
	}
	return s.timedOut()
}

// newProposeRequest returns the request for a proposal, in the name of the system's user where it is known.
func newProposeRequest(p proposal, text []byte) *wire.Propose {
	var random [8]byte
	rand.Read(random[:])                            // it never fails
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

// passOver records that a voter gave no answer. The next attempt goes to the next one.
func (s *submission) passOver(err error) {
	s.lastErr = err
	s.sent = true // the voter may have received it
	s.next++
}

// handle takes an answer in. It reports whether the command ends with that, and how.
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

// made reports a change that is in force. A version that is not in force in all regions ends the command only after partialStableTime:
// a leader that was elected just now has not heard of all regions yet.
func (s *submission) made(answer *wire.Answer) (ended bool, err error) {
	if s.proposal.abort {
		return true, s.cli.print(map[string]any{"ok": true}, plainText("given up\n"))
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

// refused reports a proposal that never comes into force. A dry run ends that way also where everybody accepts the version.
func (s *submission) refused(answer *wire.Answer) error {
	if opinion, dry := strings.CutPrefix(answer.Reason, "dry: "); dry && s.proposal.dry {
		return s.cli.print(map[string]any{"good": true}, plainText("good: "+opinion+"\n"))
	}
	return failed(fmt.Errorf("refused: %s", answer.Reason))
}

// timedOut reports a proposal whose outcome is not known when the wait is over.
func (s *submission) timedOut() error {
	switch {
	case s.partial != nil:
		return s.cli.reportInForce(s.partial)
	case !s.sent:
		return unreachable(errors.New("no voter leads: nothing was proposed"))
	case s.lastErr != nil:
		return unreachable(fmt.Errorf("in doubt: %w; 'policy status' tells what became of it", s.lastErr))
	default:
		return unreachable(errors.New("in doubt: it is not decided yet; 'policy status' tells what becomes of it"))
	}
}

// reportInForce prints that a version is in force: where there are no regions, or all have confirmed it, everywhere, else in which. It ends the
// command with exitPartial where a region is missing.
func (c *cli) reportInForce(answer *wire.Answer) error {
	result := map[string]any{"in_force": true, "number": answer.Number}
	line := fmt.Sprintf("version %d is in force", answer.Number)
	if regions := len(answer.InForce) + len(answer.Apart); regions > 0 {
		result["regions"], result["apart"] = append([]string{}, answer.InForce...), append([]string{}, answer.Apart...)
		line += strings.TrimSuffix(fmt.Sprintf(" in %d of %d regions: %s", len(answer.InForce), regions, strings.Join(answer.InForce, ", ")), ": ")
	}
	if len(answer.Apart) > 0 {
		line += "; not in " + strings.Join(answer.Apart, ", ") + ", as far as is known: it takes hold there when they are joined again"
	}
	err := c.print(result, func(w io.Writer) { fmt.Fprintln(w, line) })
	if err != nil || len(answer.Apart) == 0 {
		return err
	}
	return &exitError{code: exitPartial}
}

// findVoters returns the addresses that a proposal may be sent to: those of --at, else what the operator's file has.
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

// readVoters returns the addresses of a region's voters by the operator's file. Without a region they are the voters of the global agreement
// where there is one, else all voters.
func (c *cli) readVoters(region string) ([]netip.AddrPort, error) {
	operator, err := c.readRolloutOperator("where voters are with --at, or the operator's file with --file")
	if err != nil {
		return nil, err
	}
	rollout := operator.Rollout
	names := rollout.Voters
	if region != "" {
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return rollout.Regions[name] != region })
		if len(names) == 0 {
			return nil, failed(fmt.Errorf("nobody votes in region %q, by the file", region))
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
