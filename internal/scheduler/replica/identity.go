package replica

import (
	"crypto/rand"
	"encoding/hex"
	"saffronquay/internal/scheduler/settings"
	"slices"
)

// FounderID is the id of a replica that founds a group at the first start of the system. The founders know each other only by the seed
// addresses.
func FounderID(seed string) string { return "founder-" + seed }

// LoadOrCreateIdentity returns who a process's replicas are. The id is bound to the disk: an empty disk gets a new one, which nobody has heard any
// promise from. Only at the very first start do the seeds' machines take the ids that the others know them by.
func LoadOrCreateIdentity(identities *IdentityStore, s *settings.Settings) (Identity, error) {
	id, err := identities.Identity()
	if err != nil {
		return Identity{}, err
	}
	if id == "" {
		id = newID()
		if s.Bootstrap && s.Listen.ControlPlane != "" && slices.Contains(s.Seeds, s.Listen.ControlPlane) {
			id = FounderID(s.Listen.ControlPlane)
		}
		if err := identities.SetIdentity(id); err != nil {
			return Identity{}, err
		}
	}
	return Identity{ID: id, Address: s.PeerAddress(), Node: s.NodeName}, nil
}

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return "replica-" + hex.EncodeToString(b[:])
}
