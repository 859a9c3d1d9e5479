// The interface of the module: settings, events and actions. Types only; the contract is in doc.go.

package saffronquay

// ID identifies a query or a part. Both are numbered from one space, and an ID is never reused.
type ID int64

// ServerID identifies a server. The module treats it as opaque.
type ServerID string

// Effect is the execution guarantee of a class: how often one part of a query may run.
type Effect int

// The effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // servers drop repeats within Class.DedupWindow
	AtMostOnce                 // must not run twice
)

// Class is one class of queries. Times are microseconds, weights fractions of a query.
type Class struct {
	Name          string
	LatencyTarget int64 // an answer within this time earns the full Value
	// LatencyTargetStretch times the query's Work is added to LatencyTarget.
	LatencyTargetStretch float64
	HardLimit            int64   // how long a client waits, over all its retries
	Value                float64 // priority weight: what an answer within the latency target earns
	LateValue            float64 // fraction of Value that an answer after the latency target earns
	Effect               Effect
	DedupWindow          int64 // for Deduplicated: how long servers drop repeats
	// CompleteWeight is the weight of received parts that makes an answer complete, MinWeight the
	// least weight that may be answered, and PartialValue the fraction of Value that a partial
	// answer earns.
	CompleteWeight, MinWeight, PartialValue float64
	SecondStepParts                         int // number of parts of the second step; 0: there is no second step
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int   // attempts of one part; 0 counts as 1
	Hedging       bool  // a second attempt of a part may run concurrently with the first
	MayCancel     bool  // attempts may be cancelled
	PeerMessages  bool  // messages to other aggregators are allowed
	RetryAfter    bool  // refusals may carry a Retry-After time
	MaxRetryAfter int64 // the longest Retry-After time, in microseconds
}

// Rules has the parameters of the rules that must never be violated. Times are microseconds.
type Rules struct {
	AnswerGrace int64 // a final answer is still accepted this long after the deadline
	DrainGrace  int64 // sends to a draining or removed server must stop within this
	// SlowStartFraction is the fraction of its capacity that a server has when it starts; it grows
	// linearly to 1 within WarmUp. The work sent to a server within OverloadWindow must stay below
	// OverloadMultiple times what the server can do in that window. With OverloadMultiple 0 there
	// is no such rule.
	SlowStartFraction float64
	WarmUp            int64
	OverloadMultiple  float64
	OverloadWindow    int64
	MembershipWithin  int64 // after a failed request for the server list, the next one must be made within this
	// Budgeted limits further attempts: within any ExtraAttemptWindow, to FreeExtraAttempts plus
	// ExtraAttemptRatio times the number of queries and parts that arrived.
	Budgeted           bool
	FreeExtraAttempts  float64
	ExtraAttemptRatio  float64
	ExtraAttemptWindow int64
}

// Prices are charges, as fractions of a query's value, that a decision weighs.
type Prices struct {
	CrossZone float64 // charge for a part that is sent to another zone
}

// Tenant is one customer of the deployment.
type Tenant struct {
	Name  string
	Quota float64 // queries per second, over all aggregators together
}

// Settings configures an aggregator. Settings.Validate checks them.
type Settings struct {
	Self, Aggregators            int    // index of this aggregator, from 0, and the number of aggregators
	Zone                         string // zone of this aggregator
	Period                       int64  // minimum time between two steps, in microseconds
	Classes                      []Class
	Shards, Cells, CellsPerShard int      // shard s is in the cells (s+j) mod Cells for 0 <= j < CellsPerShard
	CallOverhead                 int64    // work that a call costs a server in addition to its parts
	PartsPerCall                 int      // maximum number of parts of one step in a call; 0 counts as 1
	WatchMembership              bool     // changes of the server list are delivered only after Watch or Fetch
	Tenants                      []Tenant // empty: tenants are not distinguished
	OverQuotaValue               float64  // fraction of its value that a query of a tenant over quota keeps
	Limits                       Limits
	Rules                        Rules
	Prices                       Prices
}

// Health is the state of a server in the server list.
type Health int

// The states of a server. Parts are sent to Ready servers only.
const (
	Gone Health = iota
	Ready
	Draining
)

// Server is one entry of the server list.
type Server struct {
	ID        ServerID
	Zone      string
	Cell      int
	Health    Health
	StartedAt int64 // start time of the server's process; 0: long ago
}

// LoadReport is a server's own report of its load. A negative field was not reported.
type LoadReport struct {
	Queue       float64 // parts queued
	InFlight    float64 // parts being processed
	Throughput  float64 // parts served per second
	Utilization float64 // fraction of the server's cores that is busy
}

// Outcome is the result of one attempt or probe.
type Outcome int

// The outcomes of an attempt. Only Rejected, Unreachable, NotSent and Misplaced prove that it did
// not run.
const (
	Served Outcome = iota
	Errored
	Rejected
	TimedOut
	Unreachable
	Broken
	Cancelled
	NotSent
	ConnectionClosed // the connection was closed for a reason that is unrelated to the server
	// Misplaced: the server no longer has the shard, according to a table of holders that is newer
	// than the one in force here. The attempt did not run, and the outcome is no evidence about the
	// server. The part is not sent there again until the holders of its shard change.
	Misplaced
)

// Event is something that an aggregator has observed: one of the types below. An event that refers
// to an unknown or ended object is ignored.
type Event interface{ isEvent() }

// Query is the arrival of a query; its parts follow within the same step. A query of an unknown
// class is treated as one of the first class.
type Query struct {
	ID       ID
	Group    int64 // the number by which its parts refer to it
	Class    string
	Tenant   string // "": none
	Deadline int64
	Work     int64  // estimated work of all parts, in microseconds of one core; 0: unknown
	Key      string // identical in a client's retry of the query; "": none
}

// Part is the arrival of one part of a query, in its first or its second step.
type Part struct {
	ID     ID
	Group  int64
	Shard  int
	Weight float64 // fraction of its query
	Work   int64   // estimated work, in microseconds of one core; 0: unknown
	Key    string
}

// ClientLeft ends a query whose client no longer waits.
type ClientLeft struct{ Query ID }

// AttemptEnded is the outcome of an attempt. Later outcomes of the same attempt are ignored.
type AttemptEnded struct {
	Part    ID
	Attempt int
	Server  ServerID
	Outcome Outcome
	Latency int64
	Report  *LoadReport
}

// ProbeEnded is the outcome of a health check, if the owner makes health checks. Only its Report is
// used.
type ProbeEnded struct {
	Server  ServerID
	Outcome Outcome
	Latency int64
	Report  *LoadReport
}

// FleetKind says what a FleetChanged contains.
type FleetKind int

// The kinds of FleetChanged.
const (
	FleetDelta  FleetKind = iota // the changed entries only
	FleetFull                    // the complete list
	FleetCached                  // the complete list as last known; may be stale
	FleetFailed                  // a Watch or Fetch failed, or the subscription ended
)

// FleetChanged is a change of the server list, or with FleetFailed a failure to get it.
type FleetChanged struct {
	Kind    FleetKind
	Servers []Server
}

// PeerMessage is a message from another aggregator. Messages may be lost.
type PeerMessage struct {
	Peer int // index of the sender, as in Settings.Self
	Text string
}

// TimerFired reports that a timer set by SetTimer is due. Only the latest timer is considered.
type TimerFired struct{ ID int64 }

// SettingsChanged puts new settings in force. They must be valid and have the same Shards, Cells
// and CellsPerShard as before. An open query keeps the class definition under which it arrived.
type SettingsChanged struct{ Settings Settings }

// Snapshot is the learned state that a process hands over to its successor. Times are on the clock
// that Step is given.
type Snapshot struct {
	Admission float64          // admission slack as a fraction of the fully open slack, 0 to 1
	Suspects  map[string]int64 // keys whose queries crash servers, with the time of detection
	Servers   []ServerSnapshot
}

// ServerSnapshot is the learned state of one server. Its weight decays from the times given.
type ServerSnapshot struct {
	Server             ServerID
	LatencyRatio       float64 // observed latency divided by predicted latency
	LatencyRatioAt     int64   // time of the latest observation; 0: none
	Failures, Attempts float64 // decaying counts of failed attempts and of all attempts
	CountedAt          int64   // time of the latest update of the counts
}

// SnapshotRestored restores the learned state of the previous process. That process may still be
// sending, so the free part of the budget counts as spent for one ExtraAttemptWindow. The state of
// a server is used only if the server is in the list and has not restarted since.
type SnapshotRestored struct{ Snapshot }

// Holders is an immutable table of the servers that have each shard. The method Holders returns
// nothing for a shard that does not exist. Since returns a version of a shard's holders, which differs
// whenever the holders do.
type Holders interface {
	Holders(shard int) []ServerID
	Since(shard int) int64
}

// HoldersChanged puts a table of holders in force. It replaces an earlier table, or the assignment
// by the settings' Shards, Cells and CellsPerShard.
type HoldersChanged struct{ Holders Holders }

// Replanned replaces a part with others, because its data belongs to other shards under the table in
// force. The weights of Into add up to the weight of the part. No attempt of the part may be in
// flight.
type Replanned struct {
	Part ID
	Into []Part
}

func (HoldersChanged) isEvent()   {}
func (Replanned) isEvent()        {}
func (Query) isEvent()            {}
func (Part) isEvent()             {}
func (ClientLeft) isEvent()       {}
func (AttemptEnded) isEvent()     {}
func (ProbeEnded) isEvent()       {}
func (FleetChanged) isEvent()     {}
func (PeerMessage) isEvent()      {}
func (TimerFired) isEvent()       {}
func (SettingsChanged) isEvent()  {}
func (SnapshotRestored) isEvent() {}

// Action is something that the owner of the Scheduler has to do: one of the types below. Actions
// are carried out in the order in which Step returns them.
type Action interface{ isAction() }

// Send starts an attempt of a part. Attempts of a part are numbered 0, 1, 2 in the order of their
// sends.
type Send struct {
	Part    ID
	Server  ServerID
	Timeout int64 // 0: until the client's deadline
}

// Cancel cancels an attempt. Its AttemptEnded still follows.
type Cancel struct {
	Part    ID
	Attempt int
}

// Answer answers a query from the parts that have been served. For a class with a second step, the
// first Answer starts that step and the second Answer is final.
type Answer struct {
	Query    ID
	Complete bool
}

// Refuse ends a query and tells its client that a retry is safe.
type Refuse struct {
	Query      ID
	RetryAfter int64 // microseconds; 0: no advice
}

// Fail ends a query without a statement about whether it has run.
type Fail struct{ Query ID }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server ServerID }

// SetTimer requests a TimerFired with its ID at a time. It replaces an earlier timer.
type SetTimer struct{ ID, At int64 }

// Watch subscribes to changes of the server list.
type Watch struct{}

// Fetch requests the complete server list.
type Fetch struct{}

// NotifyPeer sends a message of at most 256 bytes to another aggregator, or to all of them if Peer
// is negative. The message may be lost.
type NotifyPeer struct {
	Peer int
	Text string
}

// Log is a line for the log. Only changes of state are logged, so lines are rare.
type Log struct{ Text string }

func (Send) isAction()       {}
func (Cancel) isAction()     {}
func (Answer) isAction()     {}
func (Refuse) isAction()     {}
func (Fail) isAction()       {}
func (CloseIdle) isAction()  {}
func (SetTimer) isAction()   {}
func (Watch) isAction()      {}
func (Fetch) isAction()      {}
func (NotifyPeer) isAction() {}
func (Log) isAction()        {}
