package rollout

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Kinds of log entries. The values are stored on disk.
const (
	entryPropose = 1 + iota
	entryCommit
	entryAbort
	entryRoster
	entryVoters    // starts a voter change
	entryVotersEnd // ends a voter change
	entryFollow    // regions only: opens a proposal that follows the global agreement
	entryPrepared  // regions only: all gatherers have paused for the open proposal
)

const (
	maxHistory = 64      // decisions kept in the state
	maxText    = 8 << 20 // bytes of a document
)

// state is the replicated state machine over the voters' log. Of two entries that end the same
// proposal only the first has an effect.
type state struct {
	wire.State
}

// NewDocument returns a document with the given version number and text, and the text's hash.
func NewDocument(number uint64, text []byte) *wire.Document {
	sum := sha256.Sum256(text)
	return &wire.Document{Number: number, Hash: sum[:], Text: text}
}

// hashMatches reports whether a document is intact: its text is within the size limit and has the
// document's hash.
func hashMatches(d *wire.Document) bool {
	if d == nil || len(d.Text) > maxText {
		return false
	}
	sum := sha256.Sum256(d.Text)
	return bytes.Equal(sum[:], d.Hash)
}

// apply applies one committed log entry. It fails only if the entry can't be decoded.
func (s *state) apply(index uint64, data []byte) error {
	var e wire.Entry
	if err := proto.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("rollout: decode log entry %d: %w", index, err)
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

// applyProposal opens a proposal, or records why it is rejected. Of two entries with the same nonce
// only the first has an effect.
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

// applyEnd commits or aborts the open proposal. An entry for a proposal that was decided before has
// no effect.
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
			p.Document = withParts(p.Document, e.Parts)
		}
		s.Previous, s.Current, s.CurrentAttempt = s.Current, p.Document, p.Attempt
	}
	s.recordOutcome(p, s.Committed, e.Reason)
}

// withParts returns a copy of a document with other parts. The document itself does not change, because messages
// that are being encoded may contain it.
func withParts(d *wire.Document, parts []*wire.Part) *wire.Document {
	copied := proto.CloneOf(d)
	copied.Parts = parts
	return copied
}

// recordOutcome adds the outcome of a proposal to the history.
func (s *state) recordOutcome(p *wire.Proposal, committed bool, reason string) {
	s.addDecision(&wire.Decision{
		Attempt: p.Attempt, Number: p.Document.GetNumber(), Nonce: p.Nonce, Committed: committed, Reason: reason, By: p.By, Hash: p.Document.GetHash(),
	})
}

// addDecision adds a decision to the history, and drops the oldest one beyond maxHistory.
func (s *state) addDecision(d *wire.Decision) {
	s.History = append(s.History, d)
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
	}
}

// decision returns the decision on the proposal with a nonce, or nil if it is undecided or no
// longer in the history.
func (s *state) decision(nonce uint64) *wire.Decision {
	for _, d := range s.History {
		if d.Nonce == nonce {
			return d
		}
	}
	return nil
}

// number returns the number of the version in force, or 0 if there is none.
func (s *state) number() uint64 { return s.Current.GetNumber() }

// openAttempt returns the attempt of the open proposal, or 0 if there is none.
func (s *state) openAttempt() uint64 { return s.Open.GetAttempt() }
