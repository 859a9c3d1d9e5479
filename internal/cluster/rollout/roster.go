package rollout

import (
	"cmp"
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strings"
)

// maxRoster is how many gatherers a roster may have.
const maxRoster = 4096

// initialMembers are the records of the first roster, by name. Voters' ids go by the order of names; identities are those of their disks.
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

// searchMember finds the place of a name in a list, which is sorted by name.
func searchMember(members []*wire.Member, name string) (int, bool) {
	return slices.BinarySearchFunc(members, name, func(m *wire.Member, name string) int { return cmp.Compare(m.Name, name) })
}

// findMember returns a member of a list; nil: it is not on it.
func findMember(members []*wire.Member, name string) *wire.Member {
	i, ok := searchMember(members, name)
	if !ok {
		return nil
	}
	return members[i]
}

// voterNames are the names of a list's members that vote.
func voterNames(members []*wire.Member) (names []string) {
	for _, m := range members {
		if m.Id != 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// member returns a member of the roster; nil: it is not on it.
func (s *state) member(name string) *wire.Member { return findMember(s.Members, name) }

// voterByID returns who votes, is to vote or voted last under an id; nil: none known.
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

// putMember adds or replaces a member of the roster. The list is copied, so that lists which were handed out stay as they are.
func (s *state) putMember(m *wire.Member) {
	s.Members = slices.Clone(s.Members)
	i, ok := searchMember(s.Members, m.Name)
	if ok {
		s.Members[i] = m
	} else {
		s.Members = slices.Insert(s.Members, i, m)
	}
}

// applyRoster applies a change of the roster: completely, or not at all with the reason.
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
	s.remember(d)
}

// mergedMember is the record of a member that is added, or whose address changes. Its vote stays, and without another its region.
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

// checkRosterChange returns why a change of the roster can't be made; empty: it can.
func (s *state) checkRosterChange(e *wire.Entry) string {
	for _, m := range e.Add {
		if reason := s.checkAddedMember(m); reason != "" {
			return reason
		}
	}
	if len(s.Members)+len(e.Add) > maxRoster {
		return fmt.Sprintf("the roster would have over %d", maxRoster)
	}
	for _, name := range e.Remove {
		switch m := s.member(name); {
		case m == nil:
			return name + " is not on the roster"
		case m.Id != 0 || s.Change.GetAdd().GetName() == name:
			return name + " votes: take its vote first"
		case s.Current.GetKeep() && !e.Gone:
			return fmt.Sprintf("under version %d %s may go on without a lease: stop it, and say that it is gone", s.number(), name)
		}
	}
	return ""
}

// checkAddedMember returns why a member can't be added; empty: it can.
func (s *state) checkAddedMember(m *wire.Member) string {
	if m.Name == "" || m.Address == "" {
		return "it names nobody, or no address"
	}
	switch was := s.member(m.Name); {
	case len(s.Regions) == 0 && s.Region == "" && m.Region != "":
		return m.Name + " has a region, and the fleet has none"
	case len(s.Regions) == 0 || m.Region == "" && was != nil:
	case was != nil && was.Region != m.Region:
		return m.Name + " is in region " + was.Region + ": take it off the roster first"
	case !slices.Contains(s.Regions, m.Region):
		return fmt.Sprintf("%s: there is no region %q", m.Name, m.Region)
	}
	return ""
}

// beginVoterChange applies the beginning of a change of who votes. The same entry gives raft a learner for it.
func (s *state) beginVoterChange(index uint64, e *wire.Entry) {
	c := e.Voters
	c.Index = index
	s.Change = c
}

// endVoterChange applies the end of a change of who votes.
func (s *state) endVoterChange(index uint64, e *wire.Entry) {
	c := e.Voters
	s.remember(&wire.Decision{Attempt: index, Nonce: c.Nonce, By: c.By, What: describeChange(e), Committed: e.Made, Reason: e.Reason})
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

// describeChange describes what an entry changes, for the list of decisions.
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
