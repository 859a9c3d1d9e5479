package recordlog

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxHeadSize bounds the size of a segment's first frame. A segment with any record is larger.
const maxHeadSize = 64

// recover reads the manifest and the segments after this process has become the owner, and starts
// a new segment.
func (j *journal) recover(epoch uint64) error {
	found := readDirectories(j.dirs)
	if found.latest == nil {
		if err := j.checkNeverUsed(found); err != nil {
			return err
		}
		j.manifest = manifest{store: j.opt.ID}
	} else {
		j.manifest = *found.latest
	}
	j.lastSeq, j.lastAt, j.manifest.epoch, j.manifest.number = j.manifest.lastSeq, j.manifest.lastAt, epoch, 0
	j.manifest.nextSegmentID = max(j.manifest.nextSegmentID, found.nextSegmentID)
	newlyLost := j.readSegments()
	j.openedAt, j.clockStart = j.opt.Now(), j.lastAt
	newlyLost.end(j.lastAt)
	known := slices.DeleteFunc(j.manifest.lostSpans, func(span LostSpan) bool { return j.isOutdated(span, j.lastAt) })
	j.manifest.lostSpans = append(known, newlyLost...)
	for i, intact := range found.intact {
		if found.latest != nil && !intact {
			j.damagedFiles = append(j.damagedFiles, fmt.Sprintf("%s/%s", j.dirs[i], found.latest.name()))
		}
	}
	if err := j.roll(); err != nil {
		return err
	}
	j.removeUnreferenced(found.names)
	return nil
}

// readSegments fills the index from all segments, seals the last one, and returns the lost spans.
func (j *journal) readSegments() lostSpans {
	visitor := &recovery{journal: j}
	var bufs copyBuffers
	prior := header{}
	for _, s := range j.manifest.segments {
		j.segmentsByID[s.id] = s
		visitor.segment = s
		result := scan(j.source(), s, scanOptions{prior: prior}, &bufs, visitor)
		if !s.sealed {
			s.sealed, s.size = true, result.size
		}
		j.markDamage(s, result)
		prior = result.last
	}
	if prior.seq > 0 {
		j.lastSeq, j.lastAt = max(j.lastSeq, prior.seq), max(j.lastAt, prior.at)
	}
	return visitor.lost
}

// checkNeverUsed returns an error if the directories contain records although neither has a
// manifest. It prevents the loss of both manifests from leading to a new, empty store that
// overwrites the records.
func (j *journal) checkNeverUsed(found directoryState) error {
	for i, names := range found.names {
		for _, name := range names {
			if !strings.HasPrefix(name, segmentPrefix) {
				continue
			}
			if b := readAll(j.dirs[i], name, nil); len(b) > maxHeadSize {
				return fmt.Errorf("store: %s and %s: %w, but %s contains records", j.dirs[0], j.dirs[1], ErrNoManifest, name)
			}
		}
	}
	return nil
}

// markDamage marks a segment as damaged if one of its copies is, so that its live records are
// rewritten.
func (j *journal) markDamage(s *segment, result scanResult) {
	for i, damaged := range result.damaged {
		if damaged == 0 && i == 1 && s.size > 0 { // the second copy may not have been read; its length reveals the most frequent damage
			if size, err := fileSize(j.dirs[1], s.name()); err != nil || size < s.size {
				damaged = s.size - size
			}
		}
		if damaged > 0 {
			s.damaged = true
			j.damagedFiles = append(j.damagedFiles, fmt.Sprintf("%s/%s", j.dirs[i], s.name()))
		}
	}
}

func fileSize(d Dir, name string) (int64, error) {
	f, err := d.Open(name)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	return f.Seek(0, io.SeekEnd)
}

// removeUnreferenced removes the segments of earlier processes that are not in the manifest.
func (j *journal) removeUnreferenced(names [2][]string) {
	referenced := map[string]bool{}
	for _, s := range j.manifest.segments {
		referenced[s.name()] = true
	}
	for i, d := range j.dirs {
		for _, name := range names[i] {
			if strings.HasPrefix(name, segmentPrefix) && !referenced[name] {
				_ = d.Remove(name) // on failure the next start retries
			}
		}
	}
}

// recovery is the visitor that fills the index from the records of a scan.
type recovery struct {
	journal *journal
	segment *segment
	lost    lostSpans
}

func (r *recovery) visitRecord(off int64, payload []byte, h header) {
	r.lost.close(h)
	size := int64(frameHeadSize + len(payload))
	r.journal.pointTo(r.segment, off, size, r.journal.keyHash(h.kind, h.key), h.expiresAt)
}

func (r *recovery) visitLost(after header) { r.lost.add(after) }
