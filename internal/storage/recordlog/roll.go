package recordlog

import (
	"saffronquay/internal/storage/recordlog/form"
	"slices"
	"strings"
)

// roll starts a new segment, and seals the previous one at its acknowledged size.
func (j *journal) roll() error {
	s := &segment{id: j.manifest.nextSegmentID, epoch: j.manifest.epoch}
	j.manifest.nextSegmentID++
	files, err := j.createSegment(s)
	segments := slices.Clone(j.manifest.segments)
	if old := j.active; old != nil {
		segments[len(segments)-1] = &segment{id: old.id, epoch: old.epoch, sealed: true, size: old.size}
	}
	if err == nil {
		err = j.writeManifest(append(segments, s))
	}
	if err != nil { // a manifest with the segment may be durable despite the error, so its files must stay
		for _, f := range files {
			if f != nil {
				f.Close()
			}
		}
		return err
	}
	j.closeFiles()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.active != nil {
		j.active.sealed = true
	}
	j.manifest.segments = append(j.manifest.segments, s)
	j.segmentsByID[s.id] = s
	j.active, j.files, j.activeBroken = s, files, false
	return nil
}

// createSegment creates both files of a segment with their head frame. On an error it returns the
// files that were created.
func (j *journal) createSegment(s *segment) (files [2]File, err error) {
	head, err := appendFrame(nil, s.seed(j.manifest.store), 0,
		&form.Head{Version: formatVersion, Store: j.manifest.store, Epoch: s.epoch, Id: s.id})
	if err != nil {
		return files, err
	}
	s.size = int64(len(head))
	err = j.forBothCopies(s.name(), func(i int) (err error) {
		if files[i], err = j.dirs[i].Create(s.name()); err != nil {
			return err
		}
		return j.writeDurably(i, files[i], head)
	})
	return files, err
}

// writeDurably writes the first bytes of a new file, and makes them and the file's name durable.
func (j *journal) writeDurably(copyIndex int, f File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return j.dirs[copyIndex].Sync()
}

// writeManifest makes a manifest with these segments the current one, and then removes the
// earlier ones. Its number is consumed even on an error, since the manifest may be durable
// despite it.
func (j *journal) writeManifest(segments []*segment) error {
	m := j.manifest
	m.number++
	m.segments, m.lastAt, m.lastSeq = segments, j.lastAt, j.lastSeq
	j.manifest.number = m.number
	b, err := m.frame()
	if err != nil {
		return err
	}
	err = j.forBothCopies(m.name(), func(i int) error {
		f, err := j.dirs[i].Create(m.name())
		if err != nil {
			return err
		}
		defer f.Close()
		return j.writeDurably(i, f, b)
	})
	if err != nil {
		return err
	}
	if !j.isOwner() {
		return ErrFenced
	}
	j.removeManifestsBefore(m.name())
	return nil
}

func (j *journal) removeManifestsBefore(current string) {
	for _, d := range j.dirs {
		names, err := d.List()
		if err != nil {
			continue
		}
		for _, name := range names {
			if strings.HasPrefix(name, manifestPrefix) && name < current {
				_ = d.Remove(name) // on failure the next manifest retries; until then the latest manifest is the current one
			}
		}
	}
}
