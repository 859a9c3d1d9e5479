package rollout

import (
	"maps"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// bootstrap is the state of an initial voter before it may vote. A vote belongs to a disk, not to a
// name: each initial voter stores the identities of all other voters' disks, and votes only once
// all others have reported that they stored its identity. A process that returns under a voter's
// name without its disk is therefore recognized by the others, which drop its messages until an
// operator gives it a new vote.
type bootstrap struct {
	name             string
	identity         uint64
	peers            []string          // the other initial voters
	known            map[string]uint64 // identities on disk, including this voter's
	unsaved          map[string]uint64 // identities that are not on disk yet
	knownBy          map[string]bool   // peers that have stored this voter's identity
	identityConflict bool              // a peer has stored another disk identity for this name
	saving           bool
	beingSaved       map[string]uint64 // identities that are being written
	helloAt          int64             // when the next hellos are due
}

// conflictHelloFactor multiplies the interval between hellos during an identity conflict, which
// only an operator can resolve.
const conflictHelloFactor = 20

func newBootstrap(cfg Config, now int64, stored PersistentState) *bootstrap {
	b := &bootstrap{
		name: cfg.Name, identity: stored.Identity, known: map[string]uint64{cfg.Name: stored.Identity}, unsaved: map[string]uint64{}, knownBy: map[string]bool{},
		helloAt: now,
	}
	maps.Copy(b.known, stored.VoterIdentities)
	for _, m := range cfg.Members {
		if m.Voter && m.Name != cfg.Name {
			b.peers = append(b.peers, m.Name)
		}
	}
	slices.Sort(b.peers)
	return b
}

// newHello returns a hello that carries the given identities, which must be on disk.
func newHello(identities map[string]uint64) *wire.Hello {
	h := &wire.Hello{}
	for _, name := range slices.Sorted(maps.Keys(identities)) {
		h.Met = append(h.Met, &wire.Met{Name: name, Identity: identities[name]})
	}
	return h
}

// handleHello records a peer's identity, and whether the peer has stored this voter's. The first
// identity received for a name is kept.
func (b *bootstrap) handleHello(from string, identity uint64, h *wire.Hello) {
	if !slices.Contains(b.peers, from) || identity == 0 {
		return
	}
	known := b.recordIdentity(from, identity)
	for _, m := range h.Met {
		if m.Name != b.name {
			continue
		}
		if m.Identity != b.identity {
			b.identityConflict = true
		} else if known == identity {
			b.knownBy[from] = true
		}
	}
}

// recordIdentity returns the identity recorded for a peer. It records the given one if there is
// none yet.
func (b *bootstrap) recordIdentity(from string, identity uint64) uint64 {
	for _, identities := range []map[string]uint64{b.known, b.beingSaved, b.unsaved} {
		if known := identities[from]; known != 0 {
			return known
		}
	}
	b.unsaved[from] = identity
	return identity
}

// helloInterval returns the time between two hellos.
func (b *bootstrap) helloInterval(heartbeat int64) int64 {
	if b.identityConflict {
		return conflictHelloFactor * heartbeat
	}
	return heartbeat
}

// isComplete reports whether this voter may vote: it has stored the identities of all peers, and
// they have stored its own.
func (b *bootstrap) isComplete() bool {
	return !slices.ContainsFunc(b.peers, func(name string) bool { return b.known[name] == 0 || !b.knownBy[name] })
}

// takeIdentities returns all identities to save, and marks the new ones as being saved.
func (b *bootstrap) takeIdentities() map[string]uint64 {
	b.beingSaved = b.unsaved
	b.unsaved = map[string]uint64{}
	all := maps.Clone(b.known)
	maps.Copy(all, b.beingSaved)
	return all
}

// handleSaved records that the identities returned by takeIdentities are on disk.
func (b *bootstrap) handleSaved() {
	maps.Copy(b.known, b.beingSaved)
	b.beingSaved, b.saving = nil, false
}
