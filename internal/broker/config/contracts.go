package config

import (
	"saffronquay/internal/broker/admission"
)

// contracts reads the tree of contracts. Its leaves are the tenants' contracts: each tenant must
// have one, and every other contract must have children.
func (o *Operator) contracts(r reader) {
	r.require("cores", "teams")
	c := &admission.Config{Cores: r.float("cores", 0), Gatherers: r.count("gatherers", 1), Oversubscription: r.float("over", 1.25)}
	known := map[string]bool{}
	for _, class := range o.Settings.Module.Classes {
		known[class.Name] = true
	}
	for _, t := range r.array("teams") {
		t.require("name", "weight")
		team := admission.Team{
			Name: t.str("name", ""), Parent: t.str("parent", ""), Weight: t.float("weight", 0), MaxFraction: t.float("ceiling", 0),
			Reserved: t.boolean("keeps"), Classes: t.strs("classes"), MaxDeadline: t.integer("longest_ms", 0) * 1000, MaxWait: t.integer("wait_ms", 0) * 1000,
		}
		for _, class := range team.Classes {
			if !known[class] {
				t.fault("classes", "unknown class %q", class)
			}
		}
		c.Teams = append(c.Teams, team)
	}
	for _, fault := range c.Check() {
		r.fault("", "%s", fault)
	}
	// Sets, since there may be 10,000 teams.
	teams, parents, tenants := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, x := range c.Teams {
		teams[x.Name], parents[x.Parent] = true, true
	}
	for _, t := range o.Settings.Module.Tenants {
		if tenants[t.Name] = true; !teams[t.Name] {
			r.fault("teams", "tenant %q has no contract", t.Name)
		}
	}
	for _, x := range c.Teams {
		if parents[x.Name] == tenants[x.Name] {
			r.fault("teams", "%q must be either a tenant or the parent of other teams", x.Name)
		}
	}
	o.Contracts = c
}
