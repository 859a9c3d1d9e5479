package replica

import (
	"crypto/rand"
	"encoding/hex"
	"saffronquay/internal/scheduler/settings"
	"slices"
	"strings"
)

// founderPrefix begins the ids of founders.
const founderPrefix = "founder-"

// idBytes is the number of random bytes in a replica's id.
const idBytes = 8

// FounderID returns the id of a replica that founds a group at the first start of the system. Founders know each other only by the seed
// addresses, so the id follows from them.
func FounderID(seed string) string { return founderPrefix + seed }

// IsFounder reports whether an id is that of a founder.
func IsFounder(id string) bool { return strings.HasPrefix(id, founderPrefix) }

// LoadOrCreateIdentity returns the identity of a process's replicas. Their id is bound to the disk. An empty disk gets a new random id, under
// which no other replica has received a vote or an acknowledgement. Only with the setting bootstrap does a seed take the id that the other founders
// know it by, and only if tookPart says that it has not taken part in the groups under that id before. A role whose replicas found nothing may pass
// nil.
func LoadOrCreateIdentity(identities *IdentityStore, s *settings.Settings, tookPart func(founder string) bool) (Identity, error) {
	id, err := identities.Identity()
	if err != nil {
		return Identity{}, err
	}
	if id == "" {
		id = newID()
		founds := s.Bootstrap && s.Listen.ControlPlane != "" && slices.Contains(s.Seeds, s.Listen.ControlPlane)
		if founder := FounderID(s.Listen.ControlPlane); founds && tookPart != nil && !tookPart(founder) {
			id = founder
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
