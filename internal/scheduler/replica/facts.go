package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/tidwall/buntdb"
)

// Facts keeps what is small and hardly ever changes: the identity that is bound to a disk.
type Facts struct{ db *buntdb.DB }

const (
	factsName   = "facts.db"
	identityKey = "identity"
)

// OpenFacts opens the facts in a folder, which is made where it isn't there.
func OpenFacts(path string) (*Facts, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	db, err := buntdb.Open(filepath.Join(path, factsName))
	if err != nil {
		return nil, fmt.Errorf("replica: open facts: %w", err)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true}); err != nil {
		return nil, err
	}
	return &Facts{db}, folder(path).Sync()
}

// Close closes the file.
func (f *Facts) Close() error { return f.db.Close() }

// Identity returns the id that is bound to this disk, empty where the disk has none yet.
func (f *Facts) Identity() (id string, err error) {
	err = f.db.View(func(tx *buntdb.Tx) error {
		id, err = tx.Get(identityKey)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		return err
	})
	return id, err
}

// SetIdentity binds an id to this disk.
func (f *Facts) SetIdentity(id string) error {
	return f.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(identityKey, id, nil)
		return err
	})
}
