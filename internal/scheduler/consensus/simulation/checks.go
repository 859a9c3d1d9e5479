package simulation

import (
	"fmt"
	"slices"
)

// checkLeader checks the guarantees of leadership and leases: at most one leader per epoch, and a
// read under a lease returns every acknowledged command.
func (w *world) checkLeader(m *machine) error {
	if w.options.Bug == KeepLease && w.now < m.keptLeaseUntil {
		return w.checkRead(m)
	}
	if !m.core.IsLeader() {
		return nil
	}
	epoch := m.core.Epoch()
	if other, ok := w.leaders[epoch]; ok && other != m.id {
		return &ViolationError{"election", fmt.Sprintf("%s and %s lead epoch %d", other, m.id, epoch)}
	}
	if w.leaders[epoch] == "" {
		w.leaders[epoch] = m.id
		w.report.Elections++
		w.trace("leader %s epoch %d members %v", m.id, epoch, m.core.Membership())
	}
	now := w.now
	if w.options.Bug == TrustLease {
		now = 0
	}
	if !m.core.HasLease(now) || w.random.IntN(readChance) != 0 {
		return nil
	}
	return w.checkRead(m)
}

// checkRead checks that a read from a machine's state returns every acknowledged command.
func (w *world) checkRead(m *machine) error {
	w.report.Reads++
	for command := range w.acknowledged {
		if w.options.Bug != AckOnAppend && !slices.Contains(m.applied, command) {
			return &ViolationError{"read", fmt.Sprintf("%s read with a lease and lacks %s", m.id, command)}
		}
	}
	return nil
}

// checkEnd checks the end of a history, after a period without faults: no acknowledged command is
// lost. Whether a leader has its lease is reported.
func (w *world) checkEnd() error {
	var longest []string
	for _, m := range w.machines {
		if len(m.applied) > len(longest) {
			longest = m.applied
		}
	}
	for command := range w.acknowledged {
		if !slices.Contains(longest, command) {
			return &ViolationError{"lost", command + " was acknowledged and is gone"}
		}
	}
	w.report.NoLeaderAtEnd = !slices.ContainsFunc(w.machines, func(m *machine) bool { return m.up && m.core.HasLease(w.now) })
	return nil
}
