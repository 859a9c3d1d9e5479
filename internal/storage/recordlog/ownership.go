package recordlog

import (
	"errors"
	"io"
	"io/fs"
	"strings"
)

// claimOwnership makes this process the owner and returns its epoch, the next one. Records that
// the previous owner writes from then on are not acknowledged, since its isOwner returns false.
// The claims are in the first directory only.
func (j *journal) claimOwnership(force bool) (epoch uint64, err error) {
	found := readDirectories(j.dirs)
	previous, err := j.lockPreviousClaim(claimName(found.maxEpoch), force)
	if err != nil {
		return 0, err
	}
	if previous != nil {
		defer previous.Close()
	}
	epoch = found.maxEpoch + 1
	name := claimName(epoch)
	f, err := j.dirs[0].Create(name)
	if errors.Is(err, fs.ErrExist) {
		return 0, ErrOwned // another process claimed the epoch first
	}
	if err != nil {
		return 0, j.fileError(0, name, err)
	}
	f.Close()
	if j.claim, err = j.dirs[0].Lock(name); err != nil {
		return 0, j.fileError(0, name, err)
	}
	for _, old := range found.names[0] {
		if strings.HasPrefix(old, claimPrefix) {
			// A missing claim also fences the previous owner, but the next epoch's claim is
			// sufficient, so errors are ignored.
			_ = j.dirs[0].Remove(old)
		}
	}
	if err := j.dirs[0].Sync(); err != nil {
		j.claim.Close()
		return 0, j.fileError(0, name, err)
	}
	return epoch, nil
}

// lockPreviousClaim locks the claim of the previous owner, which succeeds if that process has
// closed the store or ended. It returns nil if there is no claim, or if the owner still has it
// locked and force is set.
func (j *journal) lockPreviousClaim(name string, force bool) (io.Closer, error) {
	exists, err := j.dirs[0].Exists(name)
	if canLock := err == nil && exists; !canLock {
		return nil, nil
	}
	lock, err := j.dirs[0].Lock(name)
	switch {
	case err == nil:
		return lock, nil
	case force && errors.Is(err, ErrOwned):
		return nil, nil
	}
	return nil, j.fileError(0, name, err)
}

// isOwner reports whether this process is still the owner. It returns false if that cannot be
// determined.
func (j *journal) isOwner() bool {
	own, err := j.dirs[0].Exists(claimName(j.manifest.epoch))
	next, nextErr := j.dirs[0].Exists(claimName(j.manifest.epoch + 1))
	return err == nil && nextErr == nil && own && !next
}
