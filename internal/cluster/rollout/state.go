package rollout

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Kinds of log entries. They are on disk.
const (
	entryPropose = 1 + iota
	entryCommit
	entryAbort
	entryRoster
	entryVoters    // a change of who votes begins
	entryVotersEnd // it ends
	entryFollow    // of a region: a proposal of the global agreement is followed
	entryPrepared  // of a region: all have paused for it
)

const (
	maxHistory = 64      // decisions that are remembered
	maxText    = 8 << 20 // bytes of a document
)

// state is the state machine over the voters' log: the same at all of them after the same entries. Of two entries that end one proposal the first counts.
type state struct {
	wire.State
}

// NewDocument makes a version of a text.
func NewDocument(number uint64, text []byte) *wire.Document {
	sum := sha256.Sum256(text)
	return &wire.Document{Number: number, Hash: sum[:], Text: text}
}

// hashMatches reports that a document is complete: its hash is that of its text.
func hashMatches(d *wire.Document) bool {
	if d == nil || len(d.Text) > maxText {
		return false
	}
	sum := sha256.Sum256(d.Text)
	return bytes.Equal(sum[:], d.Hash)
}

// apply applies one entry.
func (s *state) apply(index uint64, data []byte) error {
	var e wire.Entry
	if err := proto.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("rollout: entry %d: %w", index, err)
	}
	switch e.Kind {
	case entryPropose:
		s.applyProposal(index, &e)
	case entryCommit, entryAbort:
		s.applyEnd(&e)
	case entryFollow:
		if s.Open == nil && hashMatches(e.Document) && e.Document.Number > s.number() {
			s.Open = &wire.Proposal{Attempt: index, Document: e.Document, By: e.By, Global: e.Global, Decided: e.Decided}
		}
	case entryPrepared:
		if s.openAttempt() == e.Attempt {
			s.Open.Prepared = true
		}
	case entryRoster:
		s.applyRoster(index, &e)
	case entryVoters:
		s.beginVoterChange(index, &e)
	case entryVotersEnd:
		s.endVoterChange(index, &e)
	}
	return nil
}

// applyProposal opens a proposal, or records why it is rejected. Of two entries with one nonce the first counts.
func (s *state) applyProposal(index uint64, e *wire.Entry) {
	if e.Document != nil {
		e.Document.Keep = e.Keep
	}
	p := &wire.Proposal{Attempt: index, Document: e.Document, Base: e.Base, By: e.By, Nonce: e.Nonce, Dry: e.Dry}
	switch {
	case s.decision(e.Nonce) != nil || s.Open != nil && s.Open.Nonce == e.Nonce:
	case !hashMatches(e.Document):
		s.recordOutcome(p, false, "the document is not what its hash says")
	case s.Open != nil:
		s.recordOutcome(p, false, fmt.Sprintf("a proposal of %s is open", s.Open.By))
	case e.Base != s.number():
		s.recordOutcome(p, false, fmt.Sprintf("it replaces version %d, and version %d is in force", e.Base, s.number()))
	default:
		p.Document.Number = s.number() + 1
		s.Open = p
	}
}

// applyEnd commits or aborts the open proposal. An entry for a proposal that is decided changes nothing.
func (s *state) applyEnd(e *wire.Entry) {
	p := s.Open
	if p == nil || p.Attempt != e.Attempt {
		return
	}
	s.Open = nil
	s.Decided, s.Committed, s.Reason = p.Attempt, e.Kind == entryCommit, e.Reason
	if !s.Committed && p.Global != 0 && !p.Decided {
		s.GlobalRefused, s.GlobalReason = p.Global, e.Reason
	}
	if s.Committed {
		if len(e.Parts) > 0 {
			p.Document.Parts = e.Parts
		}
		s.Previous, s.Current, s.CurrentAttempt = s.Current, p.Document, p.Attempt
	}
	s.recordOutcome(p, s.Committed, e.Reason)
}

// recordOutcome remembers how a proposal ended.
func (s *state) recordOutcome(p *wire.Proposal, committed bool, reason string) {
	s.remember(&wire.Decision{
		Attempt: p.Attempt, Number: p.Document.GetNumber(), Nonce: p.Nonce, Committed: committed, Reason: reason, By: p.By, Hash: p.Document.GetHash(),
	})
}

// remember adds a decision to the history, of which only the newest are kept.
func (s *state) remember(d *wire.Decision) {
	s.History = append(s.History, d)
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
	}
}

// decision is how the proposal of a nonce was decided; nil: it was not, or is forgotten.
func (s *state) decision(nonce uint64) *wire.Decision {
	for _, d := range s.History {
		if d.Nonce == nonce {
			return d
		}
	}
	return nil
}

// number is the version in force; 0: none.
func (s *state) number() uint64 { return s.Current.GetNumber() }

// openAttempt is the open proposal; 0: none.
func (s *state) openAttempt() uint64 { return s.Open.GetAttempt() }
