package simdisk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Crash returns the disk as it is after a crash of the machine, under another plan and without
// locks: with all synced data and a random part of the rest. The old disk must not be used
// afterwards.
func (d *Disk) Crash(plan *FaultPlan, rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashed := New(d.name, plan)
	keep := func(name string, n *inode) {
		after := n.afterCrash(rng)
		crashed.names[name], crashed.durable[name] = after, after
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		n := d.durable[name]
		switch current := d.names[name]; {
		case current == n || rng.IntN(2) == 0:
			keep(name, n)
		case d.renamed[name]: // rename is atomic: one of the two files has the name
			keep(name, current)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if crashed.names[name] == nil && d.durable[name] == nil && rng.IntN(2) == 0 {
			keep(name, d.names[name])
		}
	}
	return crashed
}

// afterCrash returns the file after a crash: the synced data, without the ranges of failed syncs,
// and a random part of the rest.
func (n *inode) afterCrash(rng *rand.Rand) *inode {
	data := slices.Clone(n.data)
	for _, lost := range n.lostRanges {
		clear(data[lost.from:lost.to])
	}
	rest := data[n.synced:]
	switch rng.IntN(4) {
	case 0:
		data = data[:n.synced]
	case 1:
		data = data[:n.synced+rng.IntN(len(rest)+1)]
	case 2: // the file grew, but not all of its blocks were written
		clear(rest[rng.IntN(len(rest)+1):])
	}
	return &inode{data: data, synced: len(data)}
}

// Clone returns a copy of the disk under another plan, without locks. Everything on it counts as
// synced.
func (d *Disk) Clone(plan *FaultPlan) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := New(d.name, plan)
	for name, n := range d.names {
		m := &inode{data: slices.Clone(n.data), synced: len(n.data)}
		out.names[name], out.durable[name] = m, m
	}
	return out
}
