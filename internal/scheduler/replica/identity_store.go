package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/tidwall/buntdb"
)

// IdentityStore keeps what is small and hardly ever changes: the identity that is bound to a disk.
type IdentityStore struct{ db *buntdb.DB }

const (
	identityFileName = "facts.db"
	identityKey      = "identity"
)

// OpenIdentityStore opens the facts in a folder, which is made where it isn't there.
func OpenIdentityStore(path string) (*IdentityStore, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	db, err := buntdb.Open(filepath.Join(path, identityFileName))
	if err != nil {
		return nil, fmt.Errorf("replica: open facts: %w", err)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true}); err != nil {
		return nil, err
	}
	return &IdentityStore{db}, folder(path).Sync()
}

// Close closes the file.
func (f *IdentityStore) Close() error { return f.db.Close() }

// Identity returns the id that is bound to this disk, empty where the disk has none yet.
func (f *IdentityStore) Identity() (id string, err error) {
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
func (f *IdentityStore) SetIdentity(id string) error {
	return f.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(identityKey, id, nil)
		return err
	})
}
