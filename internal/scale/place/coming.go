package place

// Coming is the fleet that is expected: 600 gatherers in two regions and six zones. How often things are lost is from what the operators say
// of their days (machines that fail and are restarted, racks, zones, the link), evenly over the fleet; how long, and how often a whole
// region goes, are assumptions.
func Coming() Fleet {
	const (
		machines = 600 + 2600 + 4
		fails    = 9.0 * 365 / machines   // of one machine a year
		restarts = 540.0 * 365 / machines // likewise, failures not among them
		repair   = 240                    // minutes
		restart  = 2                      // minutes
		inRack   = 40                     // machines
	)
	return Fleet{Gatherers: 600, Zones: 6, InRack: 20, Often: map[Kind]Often{
		Machine:  {fails + restarts, (fails*repair + restarts*restart) / (fails + restarts)},
		Gatherer: {fails, repair}, // one that is restarted leaves in order: nobody waits for it
		Rack:     {8.0 / (machines / inRack), 60},
		Zone:     {6.0 / 6, 60},
		Region:   {0.1, 240},
		Link:     {6, 5},
	}}
}

// Placings are those that are weighed for it. Zones 0 to 2 are A's, 3 to 5 are B's; each machine has a rack of its own where nothing else
// is said.
func Placings() []Placing {
	at := func(control bool, zones ...int) (hosts []Host) {
		for i, z := range zones {
			h := Host{Region: z / 3, Zone: z, Rack: i, Control: control}
			if z == 6 {
				h.Region = Third
			}
			hosts = append(hosts, h)
		}
		return hosts
	}
	seq := func(n int) (all []int) {
		for i := range n {
			all = append(all, i)
		}
		return all
	}
	one := func(name string, hosts ...Host) Placing {
		return Placing{Name: name, Hosts: hosts, Voters: seq(len(hosts))}
	}
	keep := func(p Placing) Placing {
		p.Name, p.Rule = p.Name+", versions that keep", Keep
		return p
	}
	gatherers := func(zones ...int) []Host { return at(false, zones...) }
	control := func(zones ...int) []Host { return at(true, zones...) }
	both := func(a, b []Host) []Host {
		all := append(append([]Host{}, a...), b...)
		for i := range all {
			all[i].Rack = i
		}
		return all
	}
	rack := func(p Placing) Placing { // a region's two in one rack
		for i := range p.Hosts {
			p.Hosts[i].Rack = p.Hosts[i].Region
		}
		return p
	}
	regional := func(name string, hosts []Host, voters []int, a, b []int) Placing {
		return Placing{Name: name, Rule: Regional, Hosts: hosts, Voters: voters, Local: [2][]int{a, b}}
	}
	five := one("5 on gatherers' machines, 3+2", gatherers(0, 1, 2, 3, 4)...)
	third := both(control(0, 1, 3, 4), control(6))
	mixed := both(control(0, 1, 3, 4), gatherers(2, 5)) // hosts 0 1 4 are A's, 2 3 5 are B's
	return []Placing{
		one("3 on gatherers' machines, 2+1", gatherers(0, 1, 3)...),
		five,
		keep(five),
		one("7 on gatherers' machines, 4+3", gatherers(0, 0, 1, 2, 3, 4, 5)...),
		one("3 of the 4 machines, 2+1, the fourth follows", control(0, 1, 3)...),
		one("4 on the 4 machines, 2+2", control(0, 1, 3, 4)...),
		rack(one("4 on the 4 machines, 2+2, a region's two in one rack", control(0, 0, 3, 3)...)),
		one("4 on the 4 machines, 3+1", control(0, 1, 2, 3)...),
		one("4 machines 2+2 and one gatherer's, 3+2", both(control(0, 1, 3, 4), gatherers(2))...),
		one("4 machines 2+2 and a witness in a third place", third...),
		regional("groups by region, the 4 machines alone: 2 each; 2+1 above", control(0, 1, 3, 4), []int{0, 1, 2}, []int{0, 1}, []int{2, 3}),
		regional("groups by region: 2 machines and a gatherer's each; above 3+2", mixed, []int{0, 1, 4, 2, 3}, []int{0, 1, 4}, []int{2, 3, 5}),
		regional("groups by region: 2 machines and a gatherer's each; above 2+2 and a witness in a third place", both(mixed, control(6)), []int{0, 1, 2, 3, 6}, []int{0, 1, 4},
			[]int{2, 3, 5}),
	}
}
