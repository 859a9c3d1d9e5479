package batchrunner

import "time"

// Patience is how long a worker may be silent before it answers an item, and between two events, before it is taken for lost and the text is
// taken up at another one.
type Timeouts struct{ FirstEvent, BetweenEvents time.Duration }

// UsualPatience is longer than a load of weights, during which a worker may pause. Items that wait for it are run once more elsewhere before.
var DefaultTimeouts = Timeouts{FirstEvent: 2500 * time.Millisecond, BetweenEvents: 1400 * time.Millisecond}
