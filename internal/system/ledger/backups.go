package ledger

import "saffronquay/internal/system/rpc"

const (
	// backupAfter is how many times the usual time of its model's items an item may take before a backup of it is begun.
	backupAfter = 2
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
		late := now - int64(backupAfter*s.usualMS(j.create.Model))
		for _, g := range j.groups {
			for _, x := range g.items {
				if x.stage == leased && len(x.leases) == 1 && x.leases[0].at < late {
					list = append(list, x)
				}
			}
		}
	}
	return list
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
