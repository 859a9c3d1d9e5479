package weights

import "sync"

// Demand keeps how many concurrent requests the models' open jobs need, as reported by the owners of the batch job shards. It keeps the peak
// of the last while, since each step of a trainer needs about as much as the one before. The zero value is ready for use, by any goroutine.
// Times are milliseconds of one clock that doesn't step back.
type Demand struct {
	mu    sync.Mutex
	peaks map[demandKey]peak
}

type demandKey struct{ shard, model string }

// peak is the highest demand of a window, and when it was reported.
type peak struct {
	slots float64
	at    int64
}

const (
	// peakWindowMS is how long a lower demand doesn't replace a peak.
	peakWindowMS = 15_000
	// expiryMS is how long a demand counts that isn't reported again.
	expiryMS = 2 * peakWindowMS
)

// Update takes the report of a shard: the requests that its jobs need to run concurrently, by model.
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

// Slots returns what a model needs over all shards; 0 where none has reported it lately.
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
