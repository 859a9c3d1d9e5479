package ledger

import (
	"cmp"
	"slices"

	"saffronquay/internal/system/rpc"
)

const (
	// backupSpread is how many times the usual difference from it an item may take beyond the usual time before a backup of it is begun.
	backupSpread = 4
	// backupShare is the part of a job's items, one in so many, that backups may be begun of in all.
	backupShare = 8
)

// findStragglers notes the items that take much longer than usual, at a worker or a gatherer that is slow or gone, while only one gatherer works
// on each; the most urgent first. It tells whether there are any that were not known before.
func (s *Scheduler) findStragglers(now int64) (more bool) {
	if !s.backups {
		return false
	}
	s.stragglers = s.stragglers[:0]
	for _, l := range s.leases {
		x := l.item
		if float64(now-l.at) <= s.longestMS(x.job.create.Model) || !x.mayHaveBackup() || x.job.hope(now) == worthless {
			continue
		}
		s.stragglers = append(s.stragglers, x)
		more = more || !x.straggles
		x.straggles = true
	}
	slices.SortFunc(s.stragglers, func(a, b *itemState) int {
		return cmp.Or(cmp.Compare(a.job.dueAt, b.job.dueAt), cmp.Compare(a.leases[0].number, b.leases[0].number))
	})
	return more
}

// mayHaveBackup tells whether another gatherer may be given an item that one works on.
func (x *itemState) mayHaveBackup() bool {
	return x.stage == leased && len(x.leases) == 1 && x.job.extra <= len(x.job.items)/backupShare
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
		if !x.mayHaveBackup() || x.leases[0].gatherer == name {
			continue
		}
		if room.fit(j.create.Model, j.create.MinVersion) {
			j.extra++
			leases = append(leases, s.handOut(x, now, name))
		}
	}
	return leases
}
