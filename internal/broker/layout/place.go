package layout

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// The header fields by which a part and its server speak of places.
const (
	PlaceField = "X-Layout-Part"  // of a part, and again of its answer
	EpochField = "X-Layout-Epoch" // of a 421: the server's own
)

// Place is exactly what a part asks of a shard, and under which epoch; an answer names it again, with its server's epoch.
type Place struct {
	Shard int
	Span
	Epoch int64
}

func (p Place) String() string {
	return fmt.Sprintf("shard=%d;from=%d;to=%d;epoch=%d", p.Shard, p.From, p.To, p.Epoch)
}

var errPlace = errors.New("want shard=S;from=F;to=T;epoch=E")

// ParsePlace reads what String writes, and nothing else.
func ParsePlace(text string) (p Place, err error) {
	if _, err := fmt.Sscanf(text, "shard=%d;from=%d;to=%d;epoch=%d", &p.Shard, &p.From, &p.To, &p.Epoch); err != nil || p.String() != text {
		return Place{}, errPlace
	}
	return p, nil
}

// Current is the layout in force, for readers on any goroutine. The zero value has none.
type Current struct{ p atomic.Pointer[Layout] }

// Load is the layout in force, or nil.
func (c *Current) Load() *Layout { return c.p.Load() }

// Store puts one in force.
func (c *Current) Store(l *Layout) { c.p.Store(l) }
