package replica

import (
	"crypto/rand"
	"encoding/hex"
	"saffronquay/internal/scheduler/settings"
	"slices"
	"strings"
)

// bootstrapMemberPrefix is the prefix of the ids of bootstrap members.
const bootstrapMemberPrefix = "founder-"

// idBytes is the number of random bytes in a replica's id.
const idBytes = 8

// BootstrapMemberID returns the id of a bootstrap member: a replica that is an initial member of
// the control plane's groups at the first start of the system. Bootstrap members know each other
// only by the seed addresses, so the id is derived from them.
func BootstrapMemberID(seed string) string { return bootstrapMemberPrefix + seed }

// IsBootstrapMember reports whether an id is that of a bootstrap member.
func IsBootstrapMember(id string) bool { return strings.HasPrefix(id, bootstrapMemberPrefix) }

// LoadOrCreateIdentity returns the identity of a process's replicas. Their id is bound to the disk.
// An empty disk is assigned a new random id, under which no other replica has received a vote or an
// acknowledgement. Only with the setting bootstrap does a seed use its bootstrap member id, and
// only if participatedBefore reports that it has not taken part in the groups under that id before.
// A role without bootstrap members may pass nil.
func LoadOrCreateIdentity(identities *IdentityStore, s *settings.Settings, participatedBefore func(bootstrapMember string) bool) (Identity, error) {
	id, err := identities.Identity()
	if err != nil {
		return Identity{}, err
	}
	if id == "" {
		id = newID()
		founds := s.Bootstrap && s.Listen.ControlPlane != "" && slices.Contains(s.Seeds, s.Listen.ControlPlane)
		if bootstrapMember := BootstrapMemberID(s.Listen.ControlPlane); founds && participatedBefore != nil && !participatedBefore(bootstrapMember) {
			id = bootstrapMember
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
	_, _ = rand.Read(b[:]) // never fails: crypto/rand crashes the program if the system has no random numbers
	return "replica-" + hex.EncodeToString(b[:])
}
