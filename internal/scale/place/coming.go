package place

// Coming returns the expected fleet: 600 gatherers in two regions and six zones. Loss rates of
// machines (failures and restarts), racks, zones and the link are those reported by the operators,
// spread evenly over the fleet. The durations, and the rate for a whole region, are assumptions.
func Coming() Fleet {
	const (
		machines = 600 + 2600 + 4
		fails    = 9.0 * 365 / machines   // per machine and year
		restarts = 540.0 * 365 / machines // per machine and year, without failures
		repair   = 240                    // minutes
		restart  = 2                      // minutes
		inRack   = 40                     // machines
	)
	return Fleet{Gatherers: 600, Zones: 6, InRack: 20, Often: map[Kind]Often{
		Machine:  {fails + restarts, (fails*repair + restarts*restart) / (fails + restarts)},
		Gatherer: {fails, repair}, // without restarts: a restarted gatherer leaves in order, so others do not wait for it
		Rack:     {8.0 / (machines / inRack), 60},
		Zone:     {6.0 / 6, 60},
		Region:   {0.1, 240},
		Link:     {6, 5},
	}}
}

// Placings returns the placements that are compared for the expected fleet. Zones 0 to 2 are in
// region A, 3 to 5 in B. Each machine has its own rack unless the name says otherwise.
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
	placing := func(name string, hosts ...Host) Placing {
		return Placing{Name: name, Hosts: hosts, Voters: seq(len(hosts))}
	}
	keep := func(p Placing) Placing {
		p.Name, p.Rule = p.Name+", versions that keep", Keep
		return p
	}
	gatherers := func(zones ...int) []Host { return at(false, zones...) }
	control := func(zones ...int) []Host { return at(true, zones...) }
	concat := func(a, b []Host) []Host {
		all := append(append([]Host{}, a...), b...)
		for i := range all {
			all[i].Rack = i
		}
		return all
	}
	sharedRack := func(p Placing) Placing { // puts a region's hosts in one rack
		for i := range p.Hosts {
			p.Hosts[i].Rack = p.Hosts[i].Region
		}
		return p
	}
	regional := func(name string, hosts []Host, voters []int, a, b []int) Placing {
		return Placing{Name: name, Rule: Regional, Hosts: hosts, Voters: voters, Local: [2][]int{a, b}}
	}
	five := placing("5 on gatherers' machines, 3+2", gatherers(0, 1, 2, 3, 4)...)
	third := concat(control(0, 1, 3, 4), control(6))
	mixed := concat(control(0, 1, 3, 4), gatherers(2, 5)) // hosts 0, 1 and 4 are in A, 2, 3 and 5 in B
	return []Placing{
		placing("3 on gatherers' machines, 2+1", gatherers(0, 1, 3)...),
		five,
		keep(five),
		placing("7 on gatherers' machines, 4+3", gatherers(0, 0, 1, 2, 3, 4, 5)...),
		placing("3 of the 4 machines, 2+1, the fourth follows", control(0, 1, 3)...),
		placing("4 on the 4 machines, 2+2", control(0, 1, 3, 4)...),
		sharedRack(placing("4 on the 4 machines, 2+2, a region's two in one rack", control(0, 0, 3, 3)...)),
		placing("4 on the 4 machines, 3+1", control(0, 1, 2, 3)...),
		placing("4 machines 2+2 and one gatherer's, 3+2", concat(control(0, 1, 3, 4), gatherers(2))...),
		placing("4 machines 2+2 and a witness in a third place", third...),
		regional("groups by region, the 4 machines alone: 2 each; 2+1 above", control(0, 1, 3, 4), []int{0, 1, 2}, []int{0, 1}, []int{2, 3}),
		regional("groups by region: 2 machines and a gatherer's each; above 3+2", mixed, []int{0, 1, 4, 2, 3}, []int{0, 1, 4}, []int{2, 3, 5}),
		regional("groups by region: 2 machines and a gatherer's each; above 2+2 and a witness in a third place", concat(mixed, control(6)), []int{0, 1, 2, 3, 6}, []int{0, 1, 4},
			[]int{2, 3, 5}),
	}
}
