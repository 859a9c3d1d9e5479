package weights

import "saffronquay/internal/scheduler/rpc"

// Order is a command for one worker to load a version of a model's weights.
type Order struct {
	Instance *rpc.Instance
	Model    string
	Version  uint64
	Mode     Mode
	Cause    Cause
}

// Mode determines what a worker does with running requests when it loads weights. Its values are
// part of the worker protocol.
type Mode string

// The modes.
const (
	ModeWait   Mode = "wait"   // the load starts after the requests have ended
	ModeRetain Mode = "retain" // the requests continue with the new version
)

// Cause is the reason for an order. Its values are label values of the metric orders_total.
type Cause string

// The causes.
const (
	CauseNextVersion     Cause = "next_version" // the worker has the previous version
	CauseSkippedVersions Cause = "skips"        // the worker has an older version and never loaded those in between
	CauseNoVersion       Cause = "empty"        // the worker has no version
)

// causeOf returns the cause of an order for a worker with the version current, which is older than
// ordered.
func causeOf(current, ordered uint64) Cause {
	switch {
	case current == 0:
		return CauseNoVersion
	case ordered-current > 1:
		return CauseSkippedVersions
	}
	return CauseNextVersion
}
