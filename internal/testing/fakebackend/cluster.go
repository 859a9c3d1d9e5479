package fakebackend

import (
	"cmp"
	"math/rand/v2"
	"saffronquay/internal/broker/layout"
	"slices"
	"sync"

	sq "saffronquay"
)

// Cluster is a set of search servers, the layout directory that assigns rows to them, and the
// ground truth of which server may run which range.
type Cluster struct {
	Directory *Directory
	Ledger    *Ledger
	Servers   []*Server
	All       []Row // all rows, sorted by key: the reference to compare search results with

	stepMu  sync.Mutex                          // serializes steps and writes
	mu      sync.Mutex                          // guards allowed
	allowed map[sq.ServerID]map[int]layout.Span // span that each server may run, by shard
	byID    map[sq.ServerID]*Server
}

// NewCluster starts one server per id, all with the same configuration, and distributes rows to them
// by the ranges of doc. Rows must be sorted by key. A nil addresses lets each server choose a free
// loopback port.
func NewCluster(ids []sq.ServerID, addresses map[sq.ServerID]string, cfg ServerConfig, doc layout.Doc, rows []Row) (*Cluster, error) {
	c := &Cluster{Ledger: &Ledger{}, All: rows, allowed: map[sq.ServerID]map[int]layout.Span{}, byID: map[sq.ServerID]*Server{}}
	for _, id := range ids {
		if cfg.ID = id; addresses != nil {
			cfg.Address = addresses[id]
		}
		s, err := newServer(cfg, c.Ledger, c.mayRun)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Servers, c.byID[id] = append(c.Servers, s), s
		c.allowed[id] = map[int]layout.Span{}
	}
	var err error
	if c.Directory, err = newDirectory(doc, func(id sq.ServerID) bool { return c.byID[id] != nil }); err != nil {
		c.Close()
		return nil, err
	}
	c.Directory.applyStep = c.Do
	for _, r := range doc.Ranges {
		c.fill(r)
		c.setAllowed(r, true, doc.Epoch)
	}
	return c, nil
}

// Close stops all servers.
func (c *Cluster) Close() {
	for _, s := range c.Servers {
		s.Kill()
	}
}

// Server returns the server with the given id, or nil if there is none.
func (c *Cluster) Server(id sq.ServerID) *Server { return c.byID[id] }

func (c *Cluster) mayRun(id sq.ServerID, p layout.Place) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	span, ok := c.allowed[id][p.Shard]
	return ok && within(p.Span, span)
}

// fill copies the rows of a range to its holders. It takes them from All instead of a server: all copies
// of a range are equal, so the source does not matter.
func (c *Cluster) fill(r layout.Range) {
	rows := rowsInSpan(c.All, r.Span)
	for _, h := range r.Holders {
		c.byID[h].store(r.Shard, r.Span, rows)
	}
}

// rowsInSpan returns the rows whose keys are in span.
func rowsInSpan(all []Row, span layout.Span) (rows []Row) {
	for _, x := range all {
		if x.Key >= span.From && x.Key < span.To {
			rows = append(rows, x)
		}
	}
	return rows
}

// Write inserts the rows of add and deletes those for which gone returns true, with the timestamp at
// (Unix microseconds), on every holder. Deleted rows remain visible to searches as of an earlier
// time.
func (c *Cluster) Write(at int64, add []Row, gone func(Row) bool) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	all := slices.Clone(c.All)
	for i := range all {
		if all[i].Until == 0 && gone(all[i]) {
			all[i].Until = at
		}
	}
	for _, r := range add {
		r.From = at
		all = append(all, r)
	}
	slices.SortStableFunc(all, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	c.All = all
	for _, s := range c.Servers {
		s.write(all)
	}
}

// setAllowed grants or revokes the right of a range's holders to run it, in the ground truth and on the
// servers. The ground truth is widened before the servers and narrowed after them: a server may run
// a part between the two updates.
func (c *Cluster) setAllowed(r layout.Range, on bool, epoch int64) {
	set := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, h := range r.Holders {
			if on {
				c.allowed[h][r.Shard] = r.Span
			} else {
				delete(c.allowed[h], r.Shard)
			}
		}
	}
	if on {
		set()
	}
	for _, h := range r.Holders {
		c.byID[h].fence(r.Shard, on, epoch)
	}
	if !on {
		set()
	}
}

// exceptHoldersOf returns r with just the holders that are not holders of without.
func exceptHoldersOf(r, without layout.Range) layout.Range {
	r.Holders = slices.DeleteFunc(slices.Clone(r.Holders), func(id sq.ServerID) bool { return slices.Contains(without.Holders, id) })
	return r
}

// Do applies one step of a layout change, data before directory: the ranges that are replaced are
// fenced on their servers before the new ranges are activated, and both happen before the directory
// publishes the new epoch.
func (c *Cluster) Do(s layout.Step) error {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	now := c.Directory.Now()
	at := slices.IndexFunc(now.Changes(), func(x layout.Change) bool { return x.ID == s.Change })
	if at < 0 {
		_, err := c.Directory.Step(s)
		return err
	}
	change, epoch := now.Changes()[at], now.Epoch()+1
	// Steps are serialized by this lock, so validating against the current layout gives the same
	// result as the directory's own check below.
	s.History, s.Epoch = now.History(), epoch
	if _, err := now.Step(s, nil); err != nil {
		return err
	}
	switch {
	case s.Do == layout.Copy:
		for _, r := range change.To {
			c.fill(r)
		}
	case s.Do == layout.Cut:
		c.swap(change, change.From, change.To, epoch)
	case s.Do == layout.Abort && change.State == layout.CutOver:
		c.swap(change, change.To, change.From, epoch)
	}
	if _, err := c.Directory.Step(s); err != nil {
		return err
	}
	if s.Do == layout.Retire || s.Do == layout.Abort {
		c.dropUnused(change, s.Do == layout.Retire)
	}
	return nil
}

func (c *Cluster) swap(change layout.Change, out, in []layout.Range, epoch int64) {
	if change.Kind == layout.Move {
		c.setAllowed(exceptHoldersOf(out[0], in[0]), false, epoch)
		c.setAllowed(exceptHoldersOf(in[0], out[0]), true, epoch)
		return
	}
	for _, r := range out {
		c.setAllowed(r, false, epoch)
	}
	for _, r := range in {
		c.setAllowed(r, true, epoch)
	}
}

// dropUnused drops the ranges that the change replaced (retired) or abandoned from the servers that no
// longer hold them.
func (c *Cluster) dropUnused(change layout.Change, retired bool) {
	gone, stays := change.To, change.From
	if retired {
		gone, stays = change.From, change.To
	}
	for i, r := range gone {
		if change.Kind == layout.Move {
			r = exceptHoldersOf(r, stays[i])
		}
		for _, h := range r.Holders {
			c.byID[h].drop(r.Shard)
		}
	}
}

// Random draws a change of shards that have no change in progress, with reach holders for each new
// range. It returns false if the draw gives no valid change.
func (c *Cluster) Random(rng *rand.Rand, id string, reach int) (layout.Step, bool) {
	l := c.Directory.Now()
	doc := l.Doc()
	busy := map[int]bool{}
	for _, x := range doc.Changes {
		for _, r := range append(slices.Clone(x.From), x.To...) {
			busy[r.Shard] = busy[r.Shard] || x.State != layout.CutOver || x.Kind == layout.Move
		}
	}
	i := rng.IntN(len(doc.Ranges))
	r := doc.Ranges[i]
	if busy[r.Shard] {
		return layout.Step{}, false
	}
	s := layout.Step{Change: id, Do: layout.Announce, From: []int{r.Shard}}
	pick := func() []sq.ServerID {
		var hs []sq.ServerID
		for _, j := range rng.Perm(len(c.Servers))[:reach] {
			hs = append(hs, c.Servers[j].cfg.ID)
		}
		return hs
	}
	switch next := i + 1; {
	case rng.IntN(3) == 0:
		s.Kind = layout.Move
		s.To = []layout.Range{{Span: r.Span, Shard: r.Shard, Holders: pick()}}
		return s, !slices.Equal(s.To[0].Holders, r.Holders)
	case rng.IntN(2) == 0 && next < len(doc.Ranges) && !busy[doc.Ranges[next].Shard]:
		s.Kind = layout.Merge
		s.From = append(s.From, doc.Ranges[next].Shard)
		s.To = []layout.Range{{Span: layout.Span{From: r.From, To: doc.Ranges[next].To}, Shard: doc.NextShard, Holders: pick()}}
		return s, true
	case r.To-r.From >= 2:
		s.Kind = layout.Split
		mid := r.From + 1 + rng.Int64N(r.To-r.From-1)
		s.To = []layout.Range{
			{Span: layout.Span{From: r.From, To: mid}, Shard: doc.NextShard, Holders: pick()},
			{Span: layout.Span{From: mid, To: r.To}, Shard: doc.NextShard + 1, Holders: pick()},
		}
		return s, true
	}
	return layout.Step{}, false
}

// ReferenceIDs returns the sorted ids of all rows whose keys are in any span of want: the result that
// a single store would give.
func (c *Cluster) ReferenceIDs(want []layout.Span) []string {
	var ids []string
	for _, r := range c.All {
		if slices.ContainsFunc(want, func(w layout.Span) bool { return r.Key >= w.From && r.Key < w.To }) {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
