package rollout

import (
	"maps"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// bootstrap is one of the first voters before it may vote. A vote belongs to a disk, not to a name: each first voter stores the identities of all
// others' disks, and votes under its own only when all others have reported that they stored it. So all know a process that returns under a
// name without its disk for another one, and drop its messages until an operator gives it a vote of its own.
type bootstrap struct {
	name             string
	identity         uint64
	peers            []string          // the other first voters
	known            map[string]uint64 // identities on disk, with this one's own
	unsaved          map[string]uint64 // identities that are not on disk yet
	knownBy          map[string]bool   // the peers that have this one's identity on disk
	identityConflict bool              // a peer knows another disk under this name
	saving           bool
	beingSaved       map[string]uint64 // on the way to the disk
	helloAt          int64             // when the next hellos are due
}

// conflictHelloFactor is how much rarer hellos are in an identity conflict, which only an operator resolves.
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

// newHello returns a hello with the identities that are on disk.
func newHello(identities map[string]uint64) *wire.Hello {
	h := &wire.Hello{}
	for _, name := range slices.Sorted(maps.Keys(identities)) {
		h.Met = append(h.Met, &wire.Met{Name: name, Identity: identities[name]})
	}
	return h
}

// handleHello handles a peer's hello. The first identity of a name counts.
func (b *bootstrap) handleHello(from string, identity uint64, h *wire.Hello) {
	if !slices.Contains(b.peers, from) || identity == 0 {
		return
	}
	known := b.learn(from, identity)
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

// learn returns the identity that is known under a peer's name: the given one, where it is the first.
func (b *bootstrap) learn(from string, identity uint64) uint64 {
	for _, identities := range []map[string]uint64{b.known, b.beingSaved, b.unsaved} {
		if known := identities[from]; known != 0 {
			return known
		}
	}
	b.unsaved[from] = identity
	return identity
}

// helloInterval is the time between two hellos.
func (b *bootstrap) helloInterval(heartbeat int64) int64 {
	if b.identityConflict {
		return conflictHelloFactor * heartbeat
	}
	return heartbeat
}

// isComplete reports that this one may vote.
func (b *bootstrap) isComplete() bool {
	return !slices.ContainsFunc(b.peers, func(name string) bool { return b.known[name] == 0 || !b.knownBy[name] })
}

// takeIdentities returns all identities that have to be on disk, and marks the new ones as being saved.
func (b *bootstrap) takeIdentities() map[string]uint64 {
	b.beingSaved = b.unsaved
	b.unsaved = map[string]uint64{}
	all := maps.Clone(b.known)
	maps.Copy(all, b.beingSaved)
	return all
}

// handleSaved notes that they are.
func (b *bootstrap) handleSaved() {
	maps.Copy(b.known, b.beingSaved)
	b.beingSaved, b.saving = nil, false
}
