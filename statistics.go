// Decaying means, counts and hashes. This file makes no decisions.

package saffronquay

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// decayingMean is a mean of samples whose weights decay with time and with each later sample.
// Without samples it is the prior that is passed to mean. A nil *decayingMean has no samples.
type decayingMean struct {
	sum, count float64
	at         int64 // time of the latest sample
}

// classStats has the statistics of the queries of one class. It is kept by name, since the
// definition of a class may change.
type classStats struct {
	clientWait   float64      // how long clients that left had waited, as a moving average
	clientLeftAt int64        // time at which a client last left early; 0: never
	leaveRate    decayingMean // fraction of clients that leave early
	meanPartWork float64      // mean hinted work of a part
}

// tenant has the statistics of one tenant's traffic at this aggregator.
type tenant struct {
	quotaFraction float64 // its quota divided by the sum of all quotas
	queries       float64 // decaying count of its queries
}

// keyRecord is the state of a query key while some key is blocked.
type keyRecord struct {
	harmful bool // its queries crash servers; otherwise its query was served
	at      int64
}

// add adds a sample. The weight of older samples halves every span, and decreases a little with
// each newer sample.
func (m *decayingMean) add(now, span int64, sample float64) {
	kept := decay(now-m.at, span) * (1 - sampleWeight/2)
	m.sum, m.count, m.at = m.sum*kept+sample, m.count*kept+1, now
}

// mean returns the mean of the samples. The prior counts as one sample; without samples mean
// returns the prior.
func (m *decayingMean) mean(now, span int64, prior float64) float64 {
	if m == nil {
		return prior
	}
	kept := decay(now-m.at, span)
	return (m.sum*kept + prior) / (m.count*kept + 1)
}

// movingAverage returns the mean moved towards a sample by the sample's weight. A mean of 0 has no
// samples yet.
func movingAverage(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

// decay returns the weight that remains of 1 after a time with the half-life span.
func decay(since, span int64) float64 { return math.Exp2(-float64(since) / float64(max(span, 1))) }

// selectNth returns the value that sorting would put at index k; it reorders v. It takes O(len(v)),
// except for adversarial orders, for which it falls back to sorting.
func selectNth(v []float64, k int) float64 {
	for lo, hi, rounds := 0, len(v)-1, 0; lo < hi; rounds++ {
		if rounds > 64 {
			slices.Sort(v[lo : hi+1])
			break
		}
		three := [3]float64{v[lo], v[lo+(hi-lo)/2], v[hi]}
		slices.Sort(three[:])
		i, j := lo, hi
		for i <= j {
			for cmp.Less(v[i], three[1]) {
				i++
			}
			for cmp.Less(three[1], v[j]) {
				j--
			}
			if i <= j {
				v[i], v[j] = v[j], v[i]
				i, j = i+1, j-1
			}
		}
		if k > j && k < i {
			break
		}
		if k <= j {
			hi = j
		} else {
			lo = i
		}
	}
	return v[k]
}

// statsOf returns the statistics of a class, which it creates if missing.
func (s *Scheduler) statsOf(c *Class) *classStats {
	k := s.statsByClass[c.Name]
	if k == nil {
		k = &classStats{}
		s.statsByClass[c.Name] = k
	}
	return k
}

// countQuery counts a query, with or without a tenant. Counts halve every warm-up time.
func (s *Scheduler) countQuery(tenant string) {
	kept := decay(s.now-s.queryCountAt, s.cfg.Rules.WarmUp)
	for _, t := range s.tenants {
		t.queries *= kept
	}
	if t := s.tenants[tenant]; t != nil {
		t.queries++
	}
	s.queryCount, s.queryCountAt = s.queryCount*kept+1, s.now
}

// shardLatency returns the mean served latency of a shard, or unseenShardLatency without samples.
func (s *Scheduler) shardLatency(shard int) float64 {
	if a, ok := s.shardLatencies[shard]; ok {
		return a
	}
	return s.unseenShardLatency
}

// sendRate returns how many parts per microsecond this aggregator sends.
func (s *Scheduler) sendRate() float64 {
	span := 4 * s.shortestTarget
	return s.sendCount * decay(s.now-s.sendCountAt, span) * math.Ln2 / float64(span)
}

// warmServerRate returns the work per microsecond that one warm server serves for this aggregator,
// in cores. Except in the first step it is computed at most once per step, since it takes
// O(servers).
func (s *Scheduler) warmServerRate() float64 {
	if s.warmRateAt != s.now || s.now == s.started {
		s.warmRate, s.warmRateAt = s.computeWarmServerRate(), s.now
	}
	return s.warmRate
}

// computeWarmServerRate computes warmServerRate without the cache. It returns 0 if no server is
// warm.
func (s *Scheduler) computeWarmServerRate() float64 {
	s.decayServedWork()
	warm := 0
	for _, r := range s.servers {
		if r.Health == Ready && s.warmUpFraction(r) >= 1 {
			warm++
		}
	}
	if warm == 0 || s.now == s.started {
		return 0
	}
	tau := float64(s.cfg.Rules.WarmUp)
	return s.servedWork / float64(warm) / (tau * (1 - math.Exp(-float64(s.now-s.started)/tau)))
}

// decayServedWork decays servedWork to the time of the current step.
func (s *Scheduler) decayServedWork() {
	if s.now > s.servedWorkAt {
		s.servedWork *= math.Exp(-float64(s.now-s.servedWorkAt) / max(1, float64(s.cfg.Rules.WarmUp)))
		s.servedWorkAt = s.now
	}
}

// keyTag returns a hash that identifies a key in the log, since keys are client data.
func keyTag(key string) string { return fmt.Sprintf("#%08x", hash32(key)) }

// hash32 returns the FNV-1a hash of a key.
func hash32(key string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32()
}

// hashFraction returns a number in [0, 1) that depends on the words alone.
func hashFraction(words ...uint64) float64 {
	h := uint64(0)
	for _, w := range words {
		h += w + 0x9e3779b97f4a7c15 // the steps of splitmix64
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return float64(h>>11) / (1 << 53)
}
