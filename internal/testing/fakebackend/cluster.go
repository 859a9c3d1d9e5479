package fakebackend

import (
	"cmp"
	"math/rand/v2"
	"saffronquay/internal/broker/layout"
	"slices"
	"sync"

	sq "saffronquay"
)

// Cluster is servers with rows, the directory that says where they are, and who may hold what in truth.
type Cluster struct {
	Directory *Directory
	Ledger    *Ledger
	Servers   []*Server
	All       []Row // in order of the key: the single store to compare with

	doing sync.Mutex                          // one step at a time
	mu    sync.Mutex                          // of the truth
	truth map[sq.ServerID]map[int]layout.Span // who may run what, by server and shard
	byID  map[sq.ServerID]*Server
}

// NewCluster makes servers of one kind that hold the ranges of a layout's document over rows; without addresses they listen
// anywhere on loopback.
func NewCluster(ids []sq.ServerID, addresses map[sq.ServerID]string, cfg ServerConfig, doc layout.Doc, rows []Row) (*Cluster, error) {
	c := &Cluster{Ledger: &Ledger{}, All: rows, truth: map[sq.ServerID]map[int]layout.Span{}, byID: map[sq.ServerID]*Server{}}
	for _, id := range ids {
		if cfg.ID = id; addresses != nil {
			cfg.Address = addresses[id]
		}
		s, err := newServer(cfg, c.Ledger, c.holds)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Servers, c.byID[id] = append(c.Servers, s), s
		c.truth[id] = map[int]layout.Span{}
	}
	var err error
	if c.Directory, err = newDirectory(doc, func(id sq.ServerID) bool { return c.byID[id] != nil }); err != nil {
		c.Close()
		return nil, err
	}
	c.Directory.do = c.Do
	for _, r := range doc.Ranges {
		c.fill(r)
		c.allow(r, true, doc.Epoch)
	}
	return c, nil
}

// Close ends the servers.
func (c *Cluster) Close() {
	for _, s := range c.Servers {
		s.Kill()
	}
}

// Server is one by its id.
func (c *Cluster) Server(id sq.ServerID) *Server { return c.byID[id] }

func (c *Cluster) holds(id sq.ServerID, p layout.Place) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	span, ok := c.truth[id][p.Shard]
	return ok && within(p.Span, span)
}

// fill copies the rows of a range to its holders. Rows never change, so any source gives the same.
func (c *Cluster) fill(r layout.Range) {
	rows := between(c.All, r.Span)
	for _, h := range r.Holders {
		c.byID[h].store(r.Shard, r.Span, rows)
	}
}

// between are the rows of a span.
func between(all []Row, span layout.Span) (rows []Row) {
	for _, x := range all {
		if x.Key >= span.From && x.Key < span.To {
			rows = append(rows, x)
		}
	}
	return rows
}

// Write puts rows in and takes others away, at a time, at every holder. What was there stays for those who ask as of before.
func (c *Cluster) Write(at int64, add []Row, gone func(Row) bool) {
	c.doing.Lock()
	defer c.doing.Unlock()
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

// allow changes who may run a range, in truth and at the servers. The truth is widened first and narrowed last, since a server
// may be at work between the two.
func (c *Cluster) allow(r layout.Range, on bool, epoch int64) {
	set := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, h := range r.Holders {
			if on {
				c.truth[h][r.Shard] = r.Span
			} else {
				delete(c.truth[h], r.Shard)
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

// only is a range with those of its holders that another one lacks.
func only(r, without layout.Range) layout.Range {
	r.Holders = slices.DeleteFunc(slices.Clone(r.Holders), func(id sq.ServerID) bool { return slices.Contains(without.Holders, id) })
	return r
}

// Do takes one step of a change, data first: the side that goes out of force is fenced at its servers before the side that
// comes in force answers, and both before anyone is told of the epoch.
func (c *Cluster) Do(s layout.Step) error {
	c.doing.Lock()
	defer c.doing.Unlock()
	now := c.Directory.Now()
	at := slices.IndexFunc(now.Changes(), func(x layout.Change) bool { return x.ID == s.Change })
	if at < 0 {
		_, err := c.Directory.Step(s)
		return err
	}
	change, epoch := now.Changes()[at], now.Epoch()+1
	// The directory is the one writer here, so what it would say of this step is known beforehand.
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
		c.clean(change, s.Do == layout.Retire)
	}
	return nil
}

func (c *Cluster) swap(change layout.Change, out, in []layout.Range, epoch int64) {
	if change.Kind == layout.Move {
		c.allow(only(out[0], in[0]), false, epoch)
		c.allow(only(in[0], out[0]), true, epoch)
		return
	}
	for _, r := range out {
		c.allow(r, false, epoch)
	}
	for _, r := range in {
		c.allow(r, true, epoch)
	}
}

// clean has the side that is over dropped by those that no longer hold it.
func (c *Cluster) clean(change layout.Change, retired bool) {
	gone, stays := change.To, change.From
	if retired {
		gone, stays = change.From, change.To
	}
	for i, r := range gone {
		if change.Kind == layout.Move {
			r = only(r, stays[i])
		}
		for _, h := range r.Holders {
			c.byID[h].drop(r.Shard)
		}
	}
}

// Random draws a change that can be announced now and on which nothing is under way; ok is false where it finds none.
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

// Single gives the ids of the rows whose keys lie in any of some spans, as one store would.
func (c *Cluster) Single(want []layout.Span) []string {
	var ids []string
	for _, r := range c.All {
		if slices.ContainsFunc(want, func(w layout.Span) bool { return r.Key >= w.From && r.Key < w.To }) {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
