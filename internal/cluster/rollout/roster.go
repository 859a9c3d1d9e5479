package rollout

import (
	"cmp"
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strings"
)

// maxRoster limits the gatherers on a roster.
const maxRoster = 4096

// initialMembers returns the records of the initial roster, sorted by name. Voter ids are assigned
// in that order from 1; identities are those of the voters' disks.
func initialMembers(members []Member, identities map[string]uint64) (all []*wire.Member) {
	id := uint64(0)
	for _, m := range slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) }) {
		x := &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Global}
		if m.Voter {
			id++
			x.Id, x.Identity = id, identities[m.Name]
		}
		all = append(all, x)
	}
	return all
}

// searchMember returns the position of a name in a list sorted by name, and whether it is there.
func searchMember(members []*wire.Member, name string) (int, bool) {
	return slices.BinarySearchFunc(members, name, func(m *wire.Member, name string) int { return cmp.Compare(m.Name, name) })
}

// findMember returns the named member of a list sorted by name, or nil.
func findMember(members []*wire.Member, name string) *wire.Member {
	i, ok := searchMember(members, name)
	if !ok {
		return nil
	}
	return members[i]
}

// voterNames returns the names of the voters in a list of members.
func voterNames(members []*wire.Member) (names []string) {
	for _, m := range members {
		if m.Id != 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// member returns the named member of the roster, or nil.
func (s *state) member(name string) *wire.Member { return findMember(s.Members, name) }

// voterByID returns the member that votes under an id, is about to be added under it, or was the
// last voter removed; nil if the id is unknown.
func (s *state) voterByID(id uint64) *wire.Member {
	for _, m := range s.Members {
		if m.Id == id {
			return m
		}
	}
	if m := s.Change.GetAdd(); m.GetId() == id {
		return m
	}
	if s.Retired.GetId() == id {
		return s.Retired
	}
	return nil
}

// putMember adds or replaces a member of the roster. It copies the list, so that lists that were
// handed out do not change.
func (s *state) putMember(m *wire.Member) {
	s.Members = slices.Clone(s.Members)
	i, ok := searchMember(s.Members, m.Name)
	if ok {
		s.Members[i] = m
	} else {
		s.Members = slices.Insert(s.Members, i, m)
	}
}

// applyRoster applies a roster change completely, or records the reason why it is rejected.
func (s *state) applyRoster(index uint64, e *wire.Entry) {
	if s.decision(e.Nonce) != nil {
		return
	}
	d := &wire.Decision{Attempt: index, Nonce: e.Nonce, By: e.By, What: describeChange(e)}
	if d.Reason = s.checkRosterChange(e); d.Reason == "" {
		d.Committed, s.MembersIndex = true, index
		for _, m := range e.Add {
			s.putMember(s.mergedMember(m))
		}
		for _, name := range e.Remove {
			s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(m *wire.Member) bool { return m.Name == name })
		}
	}
	s.addDecision(d)
}

// mergedMember returns the record of a member that is added or changed. An existing member keeps
// its vote, and keeps its region unless a new one is given.
func (s *state) mergedMember(m *wire.Member) *wire.Member {
	merged := &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Global}
	if was := s.member(m.Name); was != nil {
		merged.Id, merged.Identity = was.Id, was.Identity
		if m.Region == "" {
			merged.Region, merged.Global = was.Region, was.Global
		}
	}
	return merged
}

// checkRosterChange returns why a roster change is rejected, or "" if it is valid.
func (s *state) checkRosterChange(e *wire.Entry) string {
	for _, m := range e.Add {
		if reason := s.checkAddedMember(m); reason != "" {
			return reason
		}
	}
	if len(s.Members)+len(e.Add) > maxRoster {
		return fmt.Sprintf("the roster would exceed the limit of %d gatherers", maxRoster)
	}
	for _, name := range e.Remove {
		switch m := s.member(name); {
		case m == nil:
			return name + " is not on the roster"
		case m.Id != 0 || s.Change.GetAdd().GetName() == name:
			return name + " is a voter: remove its vote first"
		case s.Current.GetKeep() && !e.Gone:
			return fmt.Sprintf("under version %d %s may admit queries without a lease: stop it and declare it gone", s.number(), name)
		}
	}
	return ""
}

// checkAddedMember returns why a member can't be added, or "" if it can.
func (s *state) checkAddedMember(m *wire.Member) string {
	if m.Name == "" || m.Address == "" {
		return "a member to add needs a name and an address"
	}
	switch was := s.member(m.Name); {
	case len(s.Regions) == 0 && s.Region == "" && m.Region != "":
		return m.Name + " has a region, but the fleet has no regions"
	case len(s.Regions) == 0 || m.Region == "" && was != nil:
	case was != nil && was.Region != m.Region:
		return m.Name + " is in region " + was.Region + ": remove it from the roster first"
	case !slices.Contains(s.Regions, m.Region):
		return fmt.Sprintf("%s: unknown region %q", m.Name, m.Region)
	}
	return ""
}

// beginVoterChange applies the start of a voter change. The same entry adds the new voter to raft
// as a learner.
func (s *state) beginVoterChange(index uint64, e *wire.Entry) {
	c := e.Voters
	c.Index = index
	s.Change = c
}

// endVoterChange applies the end of a voter change.
func (s *state) endVoterChange(index uint64, e *wire.Entry) {
	c := e.Voters
	s.addDecision(&wire.Decision{Attempt: index, Nonce: c.Nonce, By: c.By, What: describeChange(e), Committed: e.Made, Reason: e.Reason})
	s.Change = nil
	if !e.Made {
		return
	}
	s.MembersIndex = index
	if c.Remove != "" {
		if m := s.voterByID(c.RemoveId); m != nil {
			s.Retired = m
			s.putMember(&wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Global})
		}
	}
	if c.Add != nil {
		s.putMember(c.Add)
	}
}

// describeChange describes a roster or voter change for the history of decisions.
func describeChange(e *wire.Entry) string {
	var parts []string
	for _, m := range e.Add {
		parts = append(parts, "+"+m.Name)
	}
	for _, name := range e.Remove {
		parts = append(parts, "-"+name)
	}
	if e.Kind == entryRoster {
		return "roster " + strings.Join(parts, " ")
	}
	if m := e.Voters.GetAdd(); m != nil {
		parts = append(parts, "+"+m.Name)
	}
	if e.Voters.GetRemove() != "" {
		parts = append(parts, "-"+e.Voters.Remove)
	}
	return "voters " + strings.Join(parts, " ")
}
