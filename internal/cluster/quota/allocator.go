package quota

import (
	"maps"
	"saffronquay/internal/cluster/quota/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

const (
	maxBudgets      = 4096      // teams whose budgets are divided by demand; all others are divided evenly
	targetsValidFor = 100_000   // microseconds after which targets are computed again
	idleAfter       = 5_000_000 // microseconds without demand after which a budget is divided evenly again
	headroomDivisor = 8         // demand is answered with an eighth more, so that it can grow
)

// Allocator grants quotas and records which gatherer may be using what. The leader of the policy agreement has one, from its election on. It is not
// safe for concurrent use.
//
// A new allocator does not know what its predecessor has granted. Until all of that is over it only renews what holders report to it: what
// they all used at one time was within the budgets, and they report after its election, when no other allocator grants.
type Allocator struct {
	term        uint64
	exclusiveAt int64 // from then on no grant of a predecessor is in use
	holders     map[string]*lessee
	budgets     map[string]*budget // by team; only those with demand, or with an uneven quota
	slots       uint64
	bugs        Bugs
}

// lessee is what the allocator knows of one holder.
type lessee struct {
	claimed          bool              // it has reported to this allocator
	leased           bool              // quotas is all that it uses; false: it uses its floors
	quotas           map[string]uint32 // as reported last
	claimUntil       int64             // end of the lease that it reported
	grants           []grant           // made, and not known to be taken in; oldest first
	seq              uint64            // of the newest grant
	outstandingUntil int64             // when its lease is over, whichever grant it took in
}

// grant is one answer that a holder may have taken in.
type grant struct {
	seq    uint64
	until  int64
	quotas map[string]uint32
}

// budget is a team's budget that some gatherer wants more of than an even quota, or has another quota of.
type budget struct {
	demand       map[string]uint32 // by gatherer
	wantedAt     int64             // time of the newest demand
	targets      map[string]uint32 // the division aimed at, by gatherer
	targetsUntil int64
	used         map[string]uint32 // the most that each gatherer may be using. Expiry shows when targets are computed again
	sum          uint64            // of used
}

// NewAllocator returns the allocator of a leader elected in a term. exclusiveAt is when all leases of earlier terms are over, by this process's clock.
func NewAllocator(term uint64, exclusiveAt int64, bugs Bugs) *Allocator {
	return &Allocator{term: term, exclusiveAt: exclusiveAt, holders: map[string]*lessee{}, budgets: map[string]*budget{}, bugs: bugs}
}

// SetSlots sets the number of gatherers that budgets are divided among, by the policy in force at the leader. Grants for another number
// are void at every holder, since no gatherer admits queries under the policy before.
func (b *Allocator) SetSlots(n uint64) {
	if n != b.slots {
		b.slots = n
		clear(b.budgets)
		clear(b.holders)
	}
}

// Grant answers the encoded request of a gatherer; nil if it cannot be decoded. until is when a lease granted now is over on every clock. members
// are the gatherers on the roster, sorted by name; the first so many as there are slots may have quotas. It costs O(budgets), and ten
// times a second O(budgets · members).
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

// allot fills in a grant: for each budget the target of the gatherer, as far as no other gatherer may be using it.
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
		// What other holders use is not known yet: renew what this one uses, and no more.
		return max(b.mayUse(now, from, team), floor)
	}
	target := b.updateTargets(now, team, budget, members)[from]
	others := budget.sum - uint64(budget.used[from])
	if known := uint64(len(budget.used)); known < b.slots {
		others += uint64(floor) * (b.slots - known) // gatherers that join later, or are not known here, have their floors
	}
	free := PPM - min(PPM, others)
	return max(uint32(min(uint64(target), free)), floor)
}

// forget drops a budget without demand, unless a holder may be using more than an even quota of it, and reports whether it did.
func (b *Allocator) forget(now int64, team string, members []string) bool {
	if now < b.exclusiveAt {
		return false
	}
	for _, member := range members {
		if b.mayUse(now, member, team) > EvenQuota(b.slots) {
			return false
		}
	}
	for name, holder := range b.holders { // those that have left the roster included
		if now < holder.leaseEnd() && b.mayUse(now, name, team) > EvenQuota(b.slots) {
			return false
		}
	}
	delete(b.budgets, team)
	return true
}
