package ledger

import "saffronquay/internal/system/rpc"

const (
	// backupSpread is how many times the usual difference from it an item may take beyond the usual time before a backup of it is begun.
	backupSpread = 4
	// backupShare is the part of a job's items, one in so many, that backups may be begun of.
	backupShare = 8
)

// findStragglers returns the items that take much longer than usual, at a worker or a gatherer that is slow or gone: only one gatherer works on
// each, and their job's results are still worth something.
func (s *Scheduler) findStragglers(now int64) (list []*itemState) {
	if !s.backups {
		return nil
	}
	for _, j := range s.order {
		if j.hope(now) == worthless || j.wantedItems() == 0 {
			continue
		}
		longest := s.longestMS(j.create.Model)
		for _, g := range j.groups {
			for _, x := range g.items {
				if x.stage == leased && len(x.leases) == 1 && float64(now-x.leases[0].at) > longest {
					list = append(list, x)
				}
			}
		}
	}
	return list
}

// longestMS is how long an item of a model may take before it is a straggler.
func (s *Scheduler) longestMS(model string) float64 {
	if t := s.times[model]; t != nil {
		return t.usual + backupSpread*t.spread
	}
	return firstItemMS * (1 + backupSpread)
}

// takeBackups leases stragglers to a gatherer that has room left. Whichever run ends first counts; the other is cancelled.
func (s *Scheduler) takeBackups(now int64, name string, want int, room rooms, leases []*rpc.Lease) []*rpc.Lease {
	for _, x := range s.stragglers {
		if len(leases) >= want {
			break
		}
		j := x.job
		if x.stage != leased || len(x.leases) != 1 || x.leases[0].gatherer == name || j.extra > len(j.items)/backupShare {
			continue
		}
		if room.fit(j.create.Model, j.create.MinVersion) {
			j.extra++
			leases = append(leases, s.handOut(x, now, name))
		}
	}
	return leases
}
