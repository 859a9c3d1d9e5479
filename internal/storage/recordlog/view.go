package recordlog

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// View is a store that is only read: nothing is claimed, locked or written. It may be read while its owner writes; what is appended
// meanwhile is seen in part.
type ReadOnlyStore struct {
	dirs [2]Dir
	man  manifest
	had  holdings
}

// Read reads a store's root.
func OpenReadOnly(dirs [2]Dir) (*ReadOnlyStore, error) {
	h := look(dirs)
	if h.best == nil {
		return nil, fmt.Errorf("store: %s and %s: %w", dirs[0], dirs[1], ErrNoManifest)
	}
	return &ReadOnlyStore{dirs: dirs, man: *h.best, had: h}, nil
}

// Dump visits every record that can be read, in order, those that count no more among them.
func (v *ReadOnlyStore) Dump(visit func(Record)) []LostSpan {
	d := &dump{visit: visit}
	v.scan(d, false)
	return append(slices.Clone(v.man.unknown), d.unknown...)
}

type dump struct {
	visit   func(Record)
	unknown []LostSpan
}

func (d *dump) lost(after header) {
	d.unknown = append(d.unknown, LostSpan{After: after.seq, From: after.at})
}

func (d *dump) record(_ int64, payload []byte, h header) {
	for i := range d.unknown {
		if u := &d.unknown[i]; u.Before == 0 {
			u.Before, u.To = h.seq, h.at
		}
	}
	if r, err := readRecord(payload); err == nil {
		d.visit(r)
	}
}

func (v *ReadOnlyStore) scan(to reading, both bool) (all []scanned) {
	var bufs buffers
	prior := header{}
	for _, s := range v.man.segments {
		res := scan(v.dirs, v.man.store, s, prior, both, &bufs, to)
		prior = res.last
		all = append(all, res)
	}
	return all
}

// Report is what a check came to.
type CheckReport struct {
	Epoch             uint64
	Segments          int
	Bytes             int64 // of one copy
	Records           int
	Damaged           []string // files that are not as they should be, and how
	LostSpans         []LostSpan
	UnreferencedFiles []string // files that nothing names: an owner removes them at its start
	Took              time.Duration
}

// Check reads every byte of both copies.
func (v *ReadOnlyStore) Check() CheckReport {
	began := time.Now()
	r := CheckReport{Epoch: v.man.epoch, Segments: len(v.man.segments)}
	d := &dump{visit: func(Record) { r.Records++ }}
	for i, whole := range v.had.whole {
		if !whole {
			r.Damaged = append(r.Damaged, fmt.Sprintf("%s/%s: missing or damaged", v.dirs[i], v.man.name()))
		}
	}
	named := map[string]bool{}
	for i, res := range v.scan(d, true) {
		s := v.man.segments[i]
		named[s.name()] = true
		r.Bytes += res.size
		for c, n := range res.damaged {
			if n > 0 {
				r.Damaged = append(r.Damaged, fmt.Sprintf("%s/%s: %d bytes", v.dirs[c], s.name(), n))
			}
		}
	}
	r.LostSpans = append(slices.Clone(v.man.unknown), d.unknown...)
	for i, names := range v.had.names {
		for _, name := range names {
			if strings.HasPrefix(name, segmentPrefix) && !named[name] {
				r.UnreferencedFiles = append(r.UnreferencedFiles, fmt.Sprintf("%s/%s", v.dirs[i], name))
			}
		}
	}
	r.Took = time.Since(began)
	return r
}
