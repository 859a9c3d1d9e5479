package quota

import (
	"cmp"
	"maps"
	"saffronquay/internal/cluster/quota/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Holder is the state of one gatherer's quotas, which the allocator leases to it. It is not safe
// for concurrent use.
type Holder struct {
	totalSlots uint64 // number of slots in all regions
	regionPPM  uint32 // share of every budget that this gatherer's region has; PPM without regions
	slots      uint64 // number of gatherers among which the region's share is divided

	term         uint64 // of the allocator that answered last
	seq          uint64 // of the grant in use; 0 before the first one
	until        int64  // end of the grant's lease
	grantedSlots uint64 // number of slots that the grant was issued for
	quotas       map[string]uint32
	demand       []Demand
	bugs         Bugs
}

// NewHolder returns a holder without a lease, which has its floors only.
func NewHolder(slots uint64, bugs Bugs) *Holder {
	return &Holder{totalSlots: slots, slots: slots, regionPPM: PPM, bugs: bugs}
}

// SetSlots sets the number of gatherers among which budgets are divided. A grant for another
// number is void.
func (h *Holder) SetSlots(n uint64) {
	h.totalSlots = n
	h.slots = (n*uint64(h.regionPPM) + PPM - 1) / PPM
}

// SetRegion sets the share of every budget that belongs to this gatherer's region. The region
// divides it among the same share of the slots, rounded up. Requests and grants are in millionths
// of the region's share.
func (h *Holder) SetRegion(ppm uint32) {
	h.regionPPM = min(ppm, PPM)
	h.SetSlots(h.totalSlots)
}

// Slots returns the number of gatherers among which budgets are divided, in this gatherer's
// region if there are regions.
func (h *Holder) Slots() uint64 { return h.slots }

// toTotal converts a quota of the region's share into one of the total budget.
func (h *Holder) toTotal(quota uint32) uint32 {
	if h.regionPPM == PPM {
		return quota
	}
	return uint32(uint64(quota) * uint64(h.regionPPM) / PPM)
}

// toRegional converts a quota of the total budget into one of the region's share, rounded up.
func (h *Holder) toRegional(quota uint32) uint32 {
	if h.regionPPM == PPM || quota == 0 {
		return quota
	}
	return uint32(min(PPM, (uint64(quota)*PPM+uint64(h.regionPPM)-1)/uint64(max(h.regionPPM, 1))))
}

// SetDemand replaces the demand of this gatherer. Teams that are not in it have no demand. If
// there are more than MaxTeams, those with the greatest demand are kept. The slice is sorted in
// place and retained.
func (h *Holder) SetDemand(all []Demand) {
	slices.SortFunc(all, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(max(b.Want, b.Used), max(a.Want, a.Used)), cmp.Compare(a.Team, b.Team))
	})
	h.demand = all[:min(len(all), MaxTeams)]
	if h.regionPPM == PPM {
		return
	}
	h.demand = slices.Clone(h.demand)
	for i, d := range h.demand {
		h.demand[i].Want, h.demand[i].Used = h.toRegional(d.Want), h.toRegional(d.Used)
	}
}

// leased reports whether a grant is in use: its lease has not expired, and it was issued for the
// present number of slots.
func (h *Holder) leased(now int64) bool {
	return h.seq != 0 && (now < h.until || h.bugs.IgnoresExpiry) && h.grantedSlots == h.slots
}

// Quota returns the quota of a team's budget that may be used now. It does not allocate.
func (h *Holder) Quota(now int64, team string) uint32 { return h.toTotal(h.regionalQuota(now, team)) }

func (h *Holder) regionalQuota(now int64, team string) uint32 {
	if !h.leased(now) {
		return FloorQuota(h.slots)
	}
	if quota, named := h.quotas[team]; named {
		return quota
	}
	return EvenQuota(h.slots)
}

// WantsMore reports whether the demand for any team exceeds its quota.
func (h *Holder) WantsMore(now int64) bool {
	return slices.ContainsFunc(h.demand, func(d Demand) bool { return d.Want > h.regionalQuota(now, d.Team) })
}

// Quotas returns the quotas that may be used now: those of named teams, the quota of every other
// team, and the end of the lease. Without a lease all teams have the floor and until is 0. The
// caller must not modify the map.
func (h *Holder) Quotas(now int64) (named map[string]uint32, others uint32, until int64) {
	if !h.leased(now) {
		return nil, h.toTotal(FloorQuota(h.slots)), 0
	}
	if named = h.quotas; h.regionPPM != PPM {
		named = make(map[string]uint32, len(h.quotas))
		for team, quota := range h.quotas {
			named[team] = h.toTotal(quota)
		}
	}
	return named, h.toTotal(EvenQuota(h.slots)), h.until
}

// Request returns the encoded request to the allocator: the grant and the quotas in use, and the
// demand. It returns nil if encoding fails.
func (h *Holder) Request(now int64) []byte {
	request := &wire.Ask{Term: h.term, Slots: h.slots}
	claims := map[string]uint32{}
	if h.leased(now) {
		request.Seq = h.seq
		maps.Copy(claims, h.quotas)
	}
	for _, d := range h.demand {
		if d.Want > 0 {
			request.Wants = append(request.Wants, &wire.Part{Team: d.Team, Ppm: min(d.Want, PPM)})
		}
		if quota := h.regionalQuota(now, d.Team); request.Seq != 0 && d.Used > quota {
			claims[d.Team] = d.Used // decreases as its queries end
		}
	}
	for _, team := range slices.Sorted(maps.Keys(claims)) {
		request.Parts = append(request.Parts, &wire.Part{Team: team, Ppm: claims[team]})
	}
	encoded, err := proto.Marshal(request)
	if err != nil {
		return nil
	}
	return encoded
}

// HandleGrant applies the allocator's answer to a request that was sent at requestedAt. The grant
// is valid for lease microseconds from then. An answer that cannot be decoded, or was issued for
// another number of slots, does not change the grant in use.
func (h *Holder) HandleGrant(requestedAt, lease int64, encoded []byte) {
	g := &wire.Grant{}
	if len(encoded) == 0 || proto.Unmarshal(encoded, g) != nil {
		return
	}
	h.term = g.Term
	if g.Floor || g.Slots != h.slots || len(g.Parts) > MaxTeams {
		return // the grant in use stays valid until its lease expires
	}
	h.seq, h.until, h.grantedSlots = g.Seq, requestedAt+lease, g.Slots
	h.quotas = make(map[string]uint32, len(g.Parts))
	for _, part := range g.Parts {
		h.quotas[part.Team] = min(part.Ppm, PPM)
	}
}
