package rollout

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Kinds of log entries.
const (
	entryPropose = 1 + iota
	entryCommit
	entryAbort
	entryRoster
	entryVoters    // a change of who votes begins
	entryVotersEnd // it ends
	entryFollow    // of a region: a proposal of the global agreement is followed
	entryPrepared  // of a region: all hold for it
)

const (
	maxHistory = 64      // decisions that are remembered
	maxRoster  = 4096    // gatherers
	maxText    = 8 << 20 // bytes of a document
)

// state is what the voters' log comes to: the same at all of them after the same entries. Of two words on one proposal the first counts.
type state struct {
	wire.State
}

// NewDocument makes a version of a text.
func NewDocument(number uint64, text []byte) *wire.Document {
	sum := sha256.Sum256(text)
	return &wire.Document{Number: number, Hash: sum[:], Text: text}
}

// whole tells whether a document is what its hash says.
func hashMatches(d *wire.Document) bool {
	if d == nil || len(d.Text) > maxText {
		return false
	}
	sum := sha256.Sum256(d.Text)
	return bytes.Equal(sum[:], d.Hash)
}

// apply takes one entry in.
func (s *state) apply(index uint64, data []byte) error {
	var e wire.Entry
	if err := proto.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("rollout: entry %d: %w", index, err)
	}
	switch e.Kind {
	case entryPropose:
		if e.Document != nil {
			e.Document.Keep = e.Keep
		}
		p := &wire.Proposal{Attempt: index, Document: e.Document, Base: e.Base, By: e.By, Nonce: e.Nonce, Dry: e.Dry}
		switch {
		case s.decision(e.Nonce) != nil || s.Open != nil && s.Open.Nonce == e.Nonce:
			return nil // it was proposed twice: the first counts
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
	case entryCommit, entryAbort:
		if s.Open == nil || s.Open.Attempt != e.Attempt {
			return nil // it is decided already
		}
		p := s.Open
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

func (s *state) recordOutcome(p *wire.Proposal, committed bool, reason string) {
	s.remember(&wire.Decision{Attempt: p.Attempt, Number: p.Document.GetNumber(), Nonce: p.Nonce, Committed: committed, Reason: reason, By: p.By, Hash: p.Document.GetHash()})
}

func (s *state) remember(d *wire.Decision) {
	s.History = append(s.History, d)
	if len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
	}
}

// told is how a proposal was decided; nil where it was not, or is forgotten.
func (s *state) decision(nonce uint64) *wire.Decision {
	for _, d := range s.History {
		if d.Nonce == nonce {
			return d
		}
	}
	return nil
}

func (s *state) number() uint64 { return s.Current.GetNumber() }

func (s *state) openAttempt() uint64 { return s.Open.GetAttempt() }
