package weights

import "sync"

// Demand remembers how many requests at once the models' open jobs need, as the owners of the ledger's shards tell. It holds on to the
// most of the last while, since each step of a trainer needs about as much as the one before.
type Demand struct {
	mu    sync.Mutex
	peaks map[demandKey]peak
}

type demandKey struct{ shard, model string }

// peak is the most that was told, and when.
type peak struct {
	slots float64
	at    int64
}

// holdMS is how long a demand is held on to.
const holdMS = 15_000

// Update takes in what a shard of the ledger needs now. Times are milliseconds.
func (d *Demand) Update(now int64, shard string, slots map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peaks == nil {
		d.peaks = map[demandKey]peak{}
	}
	for model, n := range slots {
		key := demandKey{shard, model}
		if old := d.peaks[key]; n >= old.slots || now-old.at > holdMS {
			d.peaks[key] = peak{n, now}
		}
	}
}

// Slots is what a model needs; 0 where nobody has told.
func (d *Demand) Slots(now int64, model string) (slots float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, p := range d.peaks {
		if key.model == model && now-p.at <= 2*holdMS {
			slots += p.slots
		}
	}
	return slots
}
