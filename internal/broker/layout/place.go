package layout

import (
	"errors"
	"fmt"
)

// Header fields between the broker and shard servers.
const (
	PlaceField = "X-Layout-Part"  // of a part's request and of its answer: a Place
	EpochField = "X-Layout-Epoch" // of a 421 answer: the server's epoch
)

// Place is the shard and span that a part requests, and the epoch that it was planned in. The answer repeats shard and span, with
// the server's epoch.
type Place struct {
	Shard int
	Span
	Epoch int64
}

// String formats the place as it is on the wire.
func (p Place) String() string {
	return fmt.Sprintf("shard=%d;from=%d;to=%d;epoch=%d", p.Shard, p.From, p.To, p.Epoch)
}

var errPlace = errors.New("want shard=S;from=F;to=T;epoch=E")

// ParsePlace parses the output of String exactly; any other text is an error.
func ParsePlace(text string) (p Place, err error) {
	if _, err := fmt.Sscanf(text, "shard=%d;from=%d;to=%d;epoch=%d", &p.Shard, &p.From, &p.To, &p.Epoch); err != nil || p.String() != text {
		return Place{}, errPlace
	}
	return p, nil
}
