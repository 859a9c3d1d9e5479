package rollout

import (
	"cmp"
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strings"
)

const (
	maxVoters      = 7
	addedVoterBase = 16 // above it are the ids of voters that were added later: this and the index of the entry that began it
)

// Member is one gatherer of the first roster.
type Member struct {
	Name    string
	Address string // host:port where it agrees on the policy
	Region  string // empty: the fleet has none
	Voter   bool   // with regions: in its own region's agreement
	Global  bool   // with regions: in the global agreement. Where nobody is named for it, all voters are
}

// firstMembers are the records of the first roster; ids go by the order of names, identities are those that the voters met.
func initialMembers(members []Member, met map[string]uint64) (all []*wire.Member) {
	id := uint64(0)
	for _, m := range slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) }) {
		x := &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Global}
		if m.Voter {
			id++
			x.Id, x.Identity = id, met[m.Name]
		}
		all = append(all, x)
	}
	return all
}

// find is a member of a list; nil: it is not on it.
func findMember(members []*wire.Member, name string) *wire.Member {
	i, ok := slices.BinarySearchFunc(members, name, func(m *wire.Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return nil
	}
	return members[i]
}

// votersOf are the names of those of a list who vote.
func voterNames(members []*wire.Member) (names []string) {
	for _, m := range members {
		if m.Id != 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// member is one on the roster; nil: it is not.
func (s *state) member(name string) *wire.Member { return findMember(s.Members, name) }

// voter is who votes, is to vote or voted last under an id; nil: nobody known.
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

// put has a member on the roster, or its address changed. Lists that were given out stay as they are.
func (s *state) putMember(m *wire.Member) {
	s.Members = slices.Clone(s.Members)
	i, ok := slices.BinarySearchFunc(s.Members, m.Name, func(x *wire.Member, name string) int { return cmp.Compare(x.Name, name) })
	if ok {
		s.Members[i] = m
	} else {
		s.Members = slices.Insert(s.Members, i, m)
	}
}

// roster takes a change of the roster in: all of it, or nothing with the reason.
func (s *state) applyRoster(index uint64, e *wire.Entry) {
	if s.decision(e.Nonce) != nil {
		return
	}
	d := &wire.Decision{Attempt: index, Nonce: e.Nonce, By: e.By, What: describeChange(e)}
	if d.Reason = s.checkRosterChange(e); d.Reason == "" {
		d.Committed, s.MembersIndex = true, index
		for _, m := range e.Add {
			x := &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Global}
			if was := s.member(m.Name); was != nil {
				x.Id, x.Identity = was.Id, was.Identity
				if m.Region == "" {
					x.Region, x.Global = was.Region, was.Global
				}
			}
			s.putMember(x)
		}
		for _, name := range e.Remove {
			s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(m *wire.Member) bool { return m.Name == name })
		}
	}
	s.remember(d)
}

// unfit is why a change of the roster can't be made; empty: it can.
func (s *state) checkRosterChange(e *wire.Entry) string {
	for _, m := range e.Add {
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

// beginVoters takes the beginning of a change of who votes in; raft has a learner for it from the same entry on.
func (s *state) beginVoterChange(index uint64, e *wire.Entry) {
	c := e.Voters
	c.Index = index
	s.Change = c
}

// endVoters takes its end in.
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

// worded tells what an entry changes, for those who read what was decided.
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
