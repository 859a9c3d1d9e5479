package quota

import (
	"maps"
	"saffronquay/internal/cluster/quota/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

const (
	maxBudgets      = 4096      // maximum number of budgets divided by demand; all others are divided evenly
	targetsValidFor = 100_000   // microseconds after which targets are recomputed
	idleAfter       = 5_000_000 // microseconds without demand after which a budget is divided evenly again
	headroomDivisor = 8         // targets exceed the demand by an eighth, so that usage can grow
)

// Allocator grants quotas and tracks which gatherer may be using how much. The leader of the
// policy agreement has one, created at its election. It is not safe for concurrent use.
//
// A new allocator does not know the grants of its predecessor. Until all of them have expired it
// only renews the quotas that holders report to it. That is safe because the quotas in use at any
// one time were within the budgets, and the reports are made after its election, when no other
// allocator grants.
type Allocator struct {
	term        uint64
	exclusiveAt int64 // time from which on no grant of a predecessor is in use
	holders     map[string]*lessee
	budgets     map[string]*budget // by team; only budgets with demand or an uneven quota
	slots       uint64
	bugs        Bugs
}

// lessee is the allocator's state of one holder.
type lessee struct {
	claimed          bool              // it has reported to this allocator
	leased           bool              // it uses at most quotas; false: it uses its floors
	quotas           map[string]uint32 // as last reported
	claimUntil       int64             // end of the reported lease
	grants           []grant           // issued and possibly in use; oldest first
	seq              uint64            // of the newest grant
	outstandingUntil int64             // end of its lease, whichever grant it has applied
}

// grant is one answer that a holder may have applied.
type grant struct {
	seq    uint64
	until  int64
	quotas map[string]uint32
}

// budget is a team's budget of which some gatherer demands more than an even quota, or has an
// uneven quota.
type budget struct {
	demand       map[string]uint32 // by gatherer
	wantedAt     int64             // time of the latest demand
	targets      map[string]uint32 // intended division, by gatherer
	targetsUntil int64
	used         map[string]uint32 // the most that each gatherer may be using; expired leases are removed when targets are recomputed
	sum          uint64            // of used
}

// NewAllocator returns the allocator of a leader elected in a term. exclusiveAt is the time, on
// this process's clock, from which on all leases of earlier terms have expired.
func NewAllocator(term uint64, exclusiveAt int64, bugs Bugs) *Allocator {
	return &Allocator{term: term, exclusiveAt: exclusiveAt, holders: map[string]*lessee{}, budgets: map[string]*budget{}, bugs: bugs}
}

// SetSlots sets the number of gatherers among which budgets are divided, by the policy in force
// at the leader. Grants for another number are void at every holder, since no gatherer admits
// queries under the previous policy.
func (b *Allocator) SetSlots(n uint64) {
	if n != b.slots {
		b.slots = n
		clear(b.budgets)
		clear(b.holders)
	}
}

// Grant returns the encoded answer to the encoded request of a gatherer, or nil if the request
// cannot be decoded. until is the time at which a lease granted now has expired on every clock.
// members are the gatherers on the roster, sorted by name; only the first of them, as many as
// there are slots, may have quotas. It costs O(budgets), and ten times a second O(budgets ·
// members).
func (b *Allocator) Grant(now, until int64, from string, text []byte, members []string) []byte {
	request := &wire.Ask{}
	if len(text) == 0 || proto.Unmarshal(text, request) != nil || len(request.Parts) > 2*MaxTeams || len(request.Wants) > MaxTeams {
		return nil
	}
	answer := &wire.Grant{Term: b.term, Slots: b.slots, Floor: true}
	position, member := slices.BinarySearch(members, from)
	if member && uint64(position) < b.slots && request.Slots == b.slots {
		b.recordRequest(now, until, from, request)
		holder := b.holders[from]
		if holder.claimed && (holder.leased || now >= b.exclusiveAt || b.bugs.TrustsUnclaimed) {
			b.allot(now, until, from, answer, members[:min(int(b.slots), len(members))])
		}
	}
	text, err := proto.Marshal(answer)
	if err != nil {
		return nil
	}
	return text
}

// allot fills in a grant: for each budget the target of the gatherer, limited to what no other
// gatherer may be using.
func (b *Allocator) allot(now, until int64, from string, answer *wire.Grant, members []string) {
	holder := b.holders[from]
	holder.seq++
	quotas := map[string]uint32{}
	even := EvenQuota(b.slots)
	for name, budget := range b.budgets {
		if now-budget.wantedAt > idleAfter && b.forget(now, name, members) {
			continue
		}
		if quota := b.quotaFor(now, from, name, budget, members); quota != even {
			quotas[name] = quota
		}
	}
	holder.outstandingUntil = max(holder.outstandingUntil, until)
	if len(quotas) > MaxTeams {
		return
	}
	if b.bugs.ReleasesEarly {
		holder.leased = false
	}
	holder.grants = append(holder.grants, grant{holder.seq, until, quotas})
	b.updateSums(now, from)
	answer.Floor, answer.Seq = false, holder.seq
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		answer.Parts = append(answer.Parts, &wire.Part{Team: name, Ppm: quotas[name]})
	}
}

// quotaFor returns what a gatherer may be granted of one budget, at least its floor.
func (b *Allocator) quotaFor(now int64, from, team string, budget *budget, members []string) uint32 {
	floor := FloorQuota(b.slots)
	if now < b.exclusiveAt && !b.bugs.TrustsUnclaimed {
		// The use of other holders is not known yet, so only renew what this holder uses.
		return max(b.mayUse(now, from, team), floor)
	}
	target := b.updateTargets(now, team, budget, members)[from]
	others := budget.sum - uint64(budget.used[from])
	if known := uint64(len(budget.used)); known < b.slots {
		others += uint64(floor) * (b.slots - known) // gatherers that are unknown or join later have their floors
	}
	free := PPM - min(PPM, others)
	return max(uint32(min(uint64(target), free)), floor)
}

// forget removes a budget without demand, unless a holder may be using more than an even quota of
// it, and reports whether it did.
func (b *Allocator) forget(now int64, team string, members []string) bool {
	if now < b.exclusiveAt {
		return false
	}
	for _, member := range members {
		if b.mayUse(now, member, team) > EvenQuota(b.slots) {
			return false
		}
	}
	for name, holder := range b.holders { // includes holders that have left the roster
		if now < holder.leaseEnd() && b.mayUse(now, name, team) > EvenQuota(b.slots) {
			return false
		}
	}
	delete(b.budgets, team)
	return true
}
