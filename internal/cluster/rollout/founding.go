package rollout

import (
	"maps"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// founding is one of the first voters before it may vote. A vote counts for a disk, not for a name: each of them writes down the
// identities of all others' disks, and votes under its own only when all others have said that they wrote it down. So whoever comes back
// under a name without its disk is known to be somebody else, to everybody, and gets no word in until operators give it a vote of its own.
type bootstrap struct {
	name             string
	identity         uint64
	peers            []string
	known            map[string]uint64 // on disk, with this one's own
	unsaved          map[string]uint64 // met, and not on disk yet
	knownBy          map[string]bool   // who has this one's identity on its disk
	identityConflict bool              // one of the others knows another disk under this name
	saving           bool              // what is fresh
	beingSaved       map[string]uint64 // of it, what is on its way to the disk
	helloAt          int64             // when to say hello next
}

func newBootstrap(cfg Config, now int64, memory PersistentState) *bootstrap {
	f := &bootstrap{name: cfg.Name, identity: memory.Identity, known: map[string]uint64{cfg.Name: memory.Identity}, unsaved: map[string]uint64{}, knownBy: map[string]bool{}, helloAt: now}
	maps.Copy(f.known, memory.VoterIdentities)
	for _, m := range cfg.Members {
		if m.Voter && m.Name != cfg.Name {
			f.peers = append(f.peers, m.Name)
		}
	}
	slices.Sort(f.peers)
	return f
}

// hello words what this one has on its disk.
func newHello(met map[string]uint64) *wire.Hello {
	h := &wire.Hello{}
	for _, name := range slices.Sorted(maps.Keys(met)) {
		h.Met = append(h.Met, &wire.Met{Name: name, Identity: met[name]})
	}
	return h
}

// hear takes another one's hello in.
func (f *bootstrap) handleHello(from string, identity uint64, h *wire.Hello) {
	if !slices.Contains(f.peers, from) || identity == 0 {
		return
	}
	known := f.known[from]
	if known == 0 {
		known = f.beingSaved[from]
	}
	if known == 0 {
		known = f.unsaved[from]
	}
	if known == 0 {
		f.unsaved[from] = identity
		known = identity
	}
	for _, m := range h.Met {
		if m.Name != f.name {
			continue
		}
		if m.Identity != f.identity {
			f.identityConflict = true
		} else if known == identity {
			f.knownBy[from] = true
		}
	}
}

// wait is how long until the next hello: a stranger needs operators, and they take their time.
func (f *bootstrap) helloInterval(tick int64) int64 {
	if f.identityConflict {
		return 20 * tick
	}
	return tick
}

// over tells that this one may vote.
func (f *bootstrap) isComplete() bool {
	return !slices.ContainsFunc(f.peers, func(name string) bool { return f.known[name] == 0 || !f.knownBy[name] })
}

// all is what is to be on disk from now on.
func (f *bootstrap) takeIdentities() map[string]uint64 {
	f.beingSaved = f.unsaved
	f.unsaved = map[string]uint64{}
	all := maps.Clone(f.known)
	maps.Copy(all, f.beingSaved)
	return all
}

// saved says that it is.
func (f *bootstrap) handleSaved() {
	maps.Copy(f.known, f.beingSaved)
	f.beingSaved, f.saving = nil, false
}
