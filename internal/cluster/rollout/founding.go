package rollout

import (
	"maps"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// founding is one of the first voters before it may vote. A vote counts for a disk, not for a name: each of them writes down the
// identities of all others' disks, and votes under its own only when all others have said that they wrote it down. So whoever comes back
// under a name without its disk is known to be somebody else, to everybody, and gets no word in until operators give it a vote of its own.
type founding struct {
	self     string
	identity uint64
	others   []string
	met      map[string]uint64 // on disk, with this one's own
	fresh    map[string]uint64 // met, and not on disk yet
	knows    map[string]bool   // who has this one's identity on its disk
	stranger bool              // one of the others knows another disk under this name
	saving   bool              // what is fresh
	sent     map[string]uint64 // of it, what is on its way to the disk
	at       int64             // when to say hello next
}

func newFounding(cfg Config, now int64, memory Memory) *founding {
	f := &founding{self: cfg.Name, identity: memory.Identity, met: map[string]uint64{cfg.Name: memory.Identity}, fresh: map[string]uint64{}, knows: map[string]bool{}, at: now}
	maps.Copy(f.met, memory.Met)
	for _, m := range cfg.Members {
		if m.Voter && m.Name != cfg.Name {
			f.others = append(f.others, m.Name)
		}
	}
	slices.Sort(f.others)
	return f
}

// hello words what this one has on its disk.
func hello(met map[string]uint64) *wire.Hello {
	h := &wire.Hello{}
	for _, name := range slices.Sorted(maps.Keys(met)) {
		h.Met = append(h.Met, &wire.Met{Name: name, Identity: met[name]})
	}
	return h
}

// hear takes another one's hello in.
func (f *founding) hear(from string, identity uint64, h *wire.Hello) {
	if !slices.Contains(f.others, from) || identity == 0 {
		return
	}
	known := f.met[from]
	if known == 0 {
		known = f.sent[from]
	}
	if known == 0 {
		known = f.fresh[from]
	}
	if known == 0 {
		f.fresh[from] = identity
		known = identity
	}
	for _, m := range h.Met {
		if m.Name != f.self {
			continue
		}
		if m.Identity != f.identity {
			f.stranger = true
		} else if known == identity {
			f.knows[from] = true
		}
	}
}

// wait is how long until the next hello: a stranger needs operators, and they take their time.
func (f *founding) wait(tick int64) int64 {
	if f.stranger {
		return 20 * tick
	}
	return tick
}

// over tells that this one may vote.
func (f *founding) over() bool {
	return !slices.ContainsFunc(f.others, func(name string) bool { return f.met[name] == 0 || !f.knows[name] })
}

// all is what is to be on disk from now on.
func (f *founding) all() map[string]uint64 {
	f.sent = f.fresh
	f.fresh = map[string]uint64{}
	all := maps.Clone(f.met)
	maps.Copy(all, f.sent)
	return all
}

// saved says that it is.
func (f *founding) saved() {
	maps.Copy(f.met, f.sent)
	f.sent, f.saving = nil, false
}
