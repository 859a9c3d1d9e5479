package replica

import (
	"crypto/rand"
	"encoding/hex"
	"saffronquay/internal/scheduler/settings"
	"slices"
)

// idBytes is the number of random bytes in a replica's id.
const idBytes = 8

// FounderID returns the id of a replica that founds a group at the first start of the system. Founders know each other only by the seed
// addresses, so the id follows from them.
func FounderID(seed string) string { return "founder-" + seed }

// LoadOrCreateIdentity returns the identity of a process's replicas. Their id is bound to the disk. An empty disk gets a new random id, under
// which no other replica has received a vote or an acknowledgement. Only with the setting bootstrap, at the very first start of the system,
// does a seed take the id that the other founders know it by. Nothing here checks that it is the first start: the operator must have set
// bootstrap to false by the time a seed starts with an empty disk again.
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

// newID returns a random id.
func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // it never fails: crypto/rand ends the program if the system has no random numbers
	return "replica-" + hex.EncodeToString(b[:])
}
