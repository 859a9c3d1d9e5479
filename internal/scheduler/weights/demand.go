package weights

import "sync"

// Demand tracks how many concurrent requests the open jobs of each model need, as reported by the
// owners of the batch job shards. It keeps the recent peak, since each step of a trainer needs
// about as much as the previous one. The zero value is ready to use and safe for concurrent use.
// Times are milliseconds of one monotonic clock.
type Demand struct {
	mu    sync.Mutex
	peaks map[demandKey]peak
}

type demandKey struct{ shard, model string }

// peak is the highest demand in a window, and the time at which it was reported.
type peak struct {
	slots float64
	at    int64
}

const (
	// peakWindowMS is how long a peak is kept although lower demands are reported.
	peakWindowMS = 15_000
	// expiryMS is how long a demand is valid without another report.
	expiryMS = 2 * peakWindowMS
)

// Update records a report from a shard: the number of concurrent requests that its jobs need, by
// model.
func (d *Demand) Update(now int64, shard string, slots map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peaks == nil {
		d.peaks = map[demandKey]peak{}
	}
	for model, n := range slots {
		key := demandKey{shard, model}
		if old := d.peaks[key]; n >= old.slots || now-old.at > peakWindowMS {
			d.peaks[key] = peak{n, now}
		}
	}
}

// Slots returns the demand for a model over all shards, or 0 if no shard has reported it within
// expiryMS.
func (d *Demand) Slots(now int64, model string) (slots float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, p := range d.peaks {
		if key.model == model && now-p.at <= expiryMS {
			slots += p.slots
		}
	}
	return slots
}
