package batchrunner

import "time"

// Patience is how long a worker may be silent before it answers an item, and between two events, before it is taken for lost and the text is
// taken up at another one.
type Patience struct{ First, Between time.Duration }

// UsualPatience is longer than a load of weights, during which a worker may pause. Items that wait for it are run once more elsewhere before.
var UsualPatience = Patience{First: 2500 * time.Millisecond, Between: 1400 * time.Millisecond}
