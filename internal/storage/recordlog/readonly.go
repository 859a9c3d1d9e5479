package recordlog

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// ReadOnlyStore reads a store without claiming, locking or writing anything. It may be used while
// another process owns the store; it may then see only some of the records appended meanwhile.
type ReadOnlyStore struct {
	dirs  [2]Dir
	found directoryState
}

// OpenReadOnly reads the manifest of a store. It returns ErrNoManifest if neither copy is valid.
func OpenReadOnly(dirs [2]Dir) (*ReadOnlyStore, error) {
	found := readDirectories(dirs)
	if found.latest == nil {
		return nil, fmt.Errorf("store: %s and %s: %w", dirs[0], dirs[1], ErrNoManifest)
	}
	return &ReadOnlyStore{dirs: dirs, found: found}, nil
}

// Dump visits every readable record in log order, including deleted, expired and replaced ones.
// It returns the lost spans.
func (r *ReadOnlyStore) Dump(visit func(Record)) []LostSpan {
	d := &dumpVisitor{visit: visit}
	r.scan(d, scanOptions{})
	return r.allLostSpans(d)
}

// allLostSpans returns the lost spans in the manifest and those that a visitor found.
func (r *ReadOnlyStore) allLostSpans(d *dumpVisitor) []LostSpan {
	return append(slices.Clone(r.found.latest.lostSpans), d.lost...)
}

// dumpVisitor visits all records.
type dumpVisitor struct {
	visit func(Record)
	lost  lostSpans
}

func (d *dumpVisitor) visitLost(after header) { d.lost.add(after) }

func (d *dumpVisitor) visitRecord(_ int64, payload []byte, h header) {
	d.lost.close(h)
	if r, err := readRecord(payload); err == nil {
		d.visit(r)
	}
}

// scan scans all segments and returns their results.
func (r *ReadOnlyStore) scan(visitor recordVisitor, opt scanOptions) (results []scanResult) {
	var bufs copyBuffers
	source := segmentSource{dirs: r.dirs, store: r.found.latest.store}
	for _, s := range r.found.latest.segments {
		result := scan(source, s, opt, &bufs, visitor)
		opt.prior = result.last
		results = append(results, result)
	}
	return results
}

// CheckReport is the result of Check.
type CheckReport struct {
	Epoch             uint64
	Segments          int
	Bytes             int64 // of one copy
	Records           int
	Damaged           []string // damaged or missing files, with the extent of the damage
	LostSpans         []LostSpan
	UnreferencedFiles []string // segments that are not in the manifest; the owner removes them at its start
	Took              time.Duration
}

// Check reads and verifies every byte of both copies. It takes time proportional to the size of
// the log.
func (r *ReadOnlyStore) Check() CheckReport {
	began := time.Now()
	m := r.found.latest
	report := CheckReport{Epoch: m.epoch, Segments: len(m.segments)}
	for i, intact := range r.found.intact {
		if !intact {
			report.Damaged = append(report.Damaged, fmt.Sprintf("%s/%s: missing or damaged", r.dirs[i], m.name()))
		}
	}
	d := &dumpVisitor{visit: func(Record) { report.Records++ }}
	referenced := map[string]bool{}
	for i, result := range r.scan(d, scanOptions{bothCopies: true}) {
		s := m.segments[i]
		referenced[s.name()] = true
		report.Bytes += result.size
		for c, damaged := range result.damaged {
			if damaged > 0 {
				report.Damaged = append(report.Damaged, fmt.Sprintf("%s/%s: %d bytes", r.dirs[c], s.name(), damaged))
			}
		}
	}
	report.LostSpans = r.allLostSpans(d)
	report.UnreferencedFiles = r.unreferencedFiles(referenced)
	report.Took = time.Since(began)
	return report
}

func (r *ReadOnlyStore) unreferencedFiles(referenced map[string]bool) (files []string) {
	for i, names := range r.found.names {
		for _, name := range names {
			if strings.HasPrefix(name, segmentPrefix) && !referenced[name] {
				files = append(files, fmt.Sprintf("%s/%s", r.dirs[i], name))
			}
		}
	}
	return files
}
