package layout

import (
	"errors"
	"fmt"
)

// Header fields between the broker and shard servers.
const (
	PlaceHeader = "X-Layout-Part"  // in the request for a part and in the answer to it: a Place
	EpochHeader = "X-Layout-Epoch" // in a 421 answer: the server's epoch
)

// Place is the shard and span that a part requests, and the epoch in which the part was planned.
// The answer has the same shard and span, and the epoch of the server.
type Place struct {
	Shard int
	Span
	Epoch int64
}

// String returns the wire format of the place.
func (p Place) String() string {
	return fmt.Sprintf("shard=%d;from=%d;to=%d;epoch=%d", p.Shard, p.From, p.To, p.Epoch)
}

var errPlace = errors.New("layout: invalid place: want shard=S;from=F;to=T;epoch=E")

// ParsePlace parses the wire format of a place. It accepts exactly the output of String.
func ParsePlace(text string) (p Place, err error) {
	if _, err := fmt.Sscanf(text, "shard=%d;from=%d;to=%d;epoch=%d", &p.Shard, &p.From, &p.To, &p.Epoch); err != nil || p.String() != text {
		return Place{}, errPlace
	}
	return p, nil
}
