package weights

import "saffronquay/internal/scheduler/rpc"

// Order is a command to one worker to load a version of a model's weights.
type Order struct {
	Instance *rpc.Instance
	Model    string
	Version  uint64
	Mode     Mode
	Cause    Cause
}

// Mode says what a worker does with the requests that run when it loads. Its values are part of the workers' interface.
type Mode string

// The modes.
const (
	Wait   Mode = "wait"   // the requests end before the load
	Retain Mode = "retain" // the requests continue with the new version
)

// Cause is why an order is sent. Its values are labels of the metric orders_total.
type Cause string

// The causes.
const (
	NextVersion     Cause = "next_version" // the worker has the version before
	SkippedVersions Cause = "skips"        // the worker has an earlier one: the versions between were never loaded there
	NoVersion       Cause = "empty"        // the worker has none
)

// causeOf returns why a worker is ordered to load a version above the one that it has.
func causeOf(has, ordered uint64) Cause {
	switch {
	case has == 0:
		return NoVersion
	case ordered-has > 1:
		return SkippedVersions
	}
	return NextVersion
}
