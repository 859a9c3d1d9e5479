package quota

import (
	"cmp"
	"maps"
	"saffronquay/internal/cluster/quota/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Holder knows the quotas of one gatherer, which the allocator leases to it. It is not safe for concurrent use.
type Holder struct {
	totalSlots uint64 // of all regions together
	regionPPM  uint32 // the part of every budget that this gatherer's region has; PPM without regions
	slots      uint64 // among how many gatherers the region's part is divided

	term         uint64 // of the allocator heard last
	seq          uint64 // of the grant in use; 0 before the first one
	until        int64  // end of the grant's lease
	grantedSlots uint64 // the number of slots that the grant was made for
	quotas       map[string]uint32
	demand       []Demand
	bugs         Bugs
}

// NewHolder returns a holder that has its floors only.
func NewHolder(slots uint64, bugs Bugs) *Holder {
	return &Holder{totalSlots: slots, slots: slots, regionPPM: PPM, bugs: bugs}
}

// SetSlots sets the number of gatherers that budgets are divided among. A grant for another number is void.
func (h *Holder) SetSlots(n uint64) {
	h.totalSlots = n
	h.slots = (n*uint64(h.regionPPM) + PPM - 1) / PPM
}

// SetRegion sets the part of every budget that belongs to this gatherer's region. The region divides it among the same part of the slots, rounded
// up. Requests and grants count in millionths of the region's part.
func (h *Holder) SetRegion(ppm uint32) {
	h.regionPPM = min(ppm, PPM)
	h.SetSlots(h.totalSlots)
}

// Slots is the number of gatherers that budgets are divided among, in this gatherer's region if there are regions.
func (h *Holder) Slots() uint64 { return h.slots }

// toTotal converts a quota of the region's part into one of the total budget.
func (h *Holder) toTotal(quota uint32) uint32 {
	if h.regionPPM == PPM {
		return quota
	}
	return uint32(uint64(quota) * uint64(h.regionPPM) / PPM)
}

// toRegional converts a quota of the total budget into one of the region's part, rounded up.
func (h *Holder) toRegional(quota uint32) uint32 {
	if h.regionPPM == PPM || quota == 0 {
		return quota
	}
	return uint32(min(PPM, (uint64(quota)*PPM+uint64(h.regionPPM)-1)/uint64(max(h.regionPPM, 1))))
}

// SetDemand replaces the demand of this gatherer; teams that are not named have none. Of more than MaxTeams the greatest are kept. The slice is sorted in
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

// leased reports whether a grant is in use: its lease is not over, and the number of slots is the one it was made for.
func (h *Holder) leased(now int64) bool {
	return h.seq != 0 && (now < h.until || h.bugs.IgnoresExpiry) && h.grantedSlots == h.slots
}

// Quota returns what may be used of a team's budget now. It allocates nothing.
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

// Quotas returns what may be used now: the quotas of named teams, the quota of every other team, and until when. Without a lease all have the
// floor and until is 0. The caller must not modify the map.
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

// Request encodes the request to the allocator: what this gatherer uses under which grant, and its demand. It is nil if encoding fails.
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
			claims[d.Team] = d.Used // it shrinks as its queries end
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

// HandleGrant takes in the allocator's answer to a request that was sent at requestedAt. The grant is valid for lease microseconds from then. What cannot be
// decoded, or was made for another number of slots, leaves the grant in use as it is.
func (h *Holder) HandleGrant(requestedAt, lease int64, encoded []byte) {
	g := &wire.Grant{}
	if len(encoded) == 0 || proto.Unmarshal(encoded, g) != nil {
		return
	}
	h.term = g.Term
	if g.Floor || g.Slots != h.slots || len(g.Parts) > MaxTeams {
		return // the grant in use lasts to its end
	}
	h.seq, h.until, h.grantedSlots = g.Seq, requestedAt+lease, g.Slots
	h.quotas = make(map[string]uint32, len(g.Parts))
	for _, part := range g.Parts {
		h.quotas[part.Team] = min(part.Ppm, PPM)
	}
}
