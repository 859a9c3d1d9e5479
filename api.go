// The interface of the module: settings, events and actions. Types only; the contract is in doc.go.

package saffronquay

// ID names a query or a part. Both are numbered from one space, and an id is never reused.
type ID int64

// ServerID names a server. The module returns it exactly as it was given.
type ServerID string

// Effect says how often a part of a class may run.
type Effect int

// The effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // servers drop repeats within Class.DedupWindow
	AtMostOnce                 // must never run twice
)

// Class is one class of query. Times are microseconds, weights fractions of a query.
type Class struct {
	Name          string
	LatencyTarget int64 // an answer within this time earns the full value
	// LatencyTargetStretch is the multiple of the query's own Work that is added to LatencyTarget.
	LatencyTargetStretch float64
	HardLimit            int64   // how long a client waits over all its retries
	Value                float64 // priority weight: what an answer in time earns
	LateValue            float64 // fraction of Value that is earned after the latency target
	Effect               Effect
	DedupWindow          int64 // for Deduplicated: how long servers drop repeats
	// CompleteWeight is the weight of parts that makes a complete answer, MinWeight the least that may be answered
	// at all, and PartialValue the fraction of the value that an incomplete answer earns.
	CompleteWeight, MinWeight, PartialValue float64
	SecondStepParts                         int // parts of a second step; 0: there is none
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int   // of one part; 0 counts as 1
	Hedging       bool  // a second attempt may run beside the first
	MayCancel     bool  // attempts may be cancelled
	PeerMessages  bool  // messages to other aggregators are allowed
	RetryAfter    bool  // refusals may say when to retry
	MaxRetryAfter int64 // the longest such time, in microseconds
}

// Rules has the parameters of the rules that must never be broken. Times are microseconds.
type Rules struct {
	AnswerGrace int64 // a final answer still counts so long after the deadline
	DrainGrace  int64 // sends to a draining or removed server must cease within this
	// SlowStartFraction is the fraction of its capacity that a server has at its start; it grows evenly to 1 within
	// WarmUp. Work sent to it within OverloadWindow must stay below OverloadMultiple times what it can do meanwhile;
	// OverloadMultiple 0: there is no such rule.
	SlowStartFraction float64
	WarmUp            int64
	OverloadMultiple  float64
	OverloadWindow    int64
	MembershipWithin  int64 // after a failure to get the list it must be requested again within this
	// Budgeted says that further attempts are limited: over any ExtraAttemptWindow to FreeExtraAttempts plus
	// ExtraAttemptRatio of the queries and parts that arrived.
	Budgeted           bool
	FreeExtraAttempts  float64
	ExtraAttemptRatio  float64
	ExtraAttemptWindow int64
}

// Prices are charges, as fractions of a query's value, that a decision weighs.
type Prices struct {
	CrossZone float64 // of a part that is sent to another zone
}

// Tenant is one customer of the deployment.
type Tenant struct {
	Name  string
	Quota float64 // queries a second, at all aggregators together
}

// Settings configures an aggregator. Settings.Validate checks them.
type Settings struct {
	Self, Aggregators            int    // its own number, from 0, and how many there are
	Zone                         string // its own zone
	Period                       int64  // the least time between two steps, in microseconds
	Classes                      []Class
	Shards, Cells, CellsPerShard int      // shard s is in the cells (s+j) mod Cells for j below CellsPerShard
	CallOverhead                 int64    // work that a call costs a server beside its parts
	PartsPerCall                 int      // parts of one step that travel in a call; 0 counts as 1
	WatchMembership              bool     // changes of the list of servers come only after Watch or Fetch
	Tenants                      []Tenant // empty where they are not distinguished
	OverQuotaValue               float64  // fraction of a query's value that is left beyond its tenant's quota
	Limits                       Limits
	Rules                        Rules
	Prices                       Prices
}

// Health is the state of a server in the list of servers.
type Health int

// The states of a server. Only a Ready one is sent to.
const (
	Gone Health = iota
	Ready
	Draining
)

// Server is one entry of the list of servers.
type Server struct {
	ID        ServerID
	Zone      string
	Cell      int
	Health    Health
	StartedAt int64 // start time of its process; 0: long ago
}

// LoadReport is a server's own account of its load. A negative field was not reported.
type LoadReport struct {
	Queue       float64 // parts waiting
	InFlight    float64 // parts that it works on
	Throughput  float64 // parts served a second
	Utilization float64 // fraction of its cores that is busy
}

// Outcome is how one attempt or probe ended.
type Outcome int

// The outcomes. Only Rejected, Unreachable, NotSent and Misplaced prove that the attempt did not run.
const (
	Served Outcome = iota
	Errored
	Rejected
	TimedOut
	Unreachable
	Broken
	Cancelled
	NotSent
	Stranded // its connection was closed for another reason, which says nothing about the server
	// Misplaced: the server no longer has the shard, by a table newer than the one here. The attempt did not run and says
	// nothing about the server. The part does not return there until the holders of its shard change.
	Misplaced
)

// Event is something that an aggregator has seen: one of the types below. An event that refers to something unknown
// or ended is ignored.
type Event interface{ isEvent() }

// Query is the arrival of a query; its parts follow within the same step. One of an unknown class is treated as of the
// first.
type Query struct {
	ID       ID
	Group    int64 // number that its parts refer to
	Class    string
	Tenant   string // "": none
	Deadline int64
	Work     int64  // hint of the work of all parts, in microseconds of a core; 0: none
	Key      string // the same in a client's retry of the query; "": none
}

// Part is the arrival of one part of a query, of its first or its second step.
type Part struct {
	ID     ID
	Group  int64
	Shard  int
	Weight float64 // fraction of its query
	Work   int64   // hint of its work; 0: none
	Key    string
}

// ClientLeft ends a query whose client no longer waits.
type ClientLeft struct{ Query ID }

// AttemptEnded is the only outcome of an attempt. Later ones of the same attempt are ignored.
type AttemptEnded struct {
	Part    ID
	Attempt int
	Server  ServerID
	Outcome Outcome
	Latency int64
	Report  *LoadReport
}

// ProbeEnded is the outcome of a health check, where the owner sends them. Only its Report counts.
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
	FleetCached                  // the complete list as last known, perhaps stale
	FleetFailed                  // a Watch or Fetch failed, or the subscription broke
)

// FleetChanged is a change of the list of servers, or for FleetFailed the failure to get it.
type FleetChanged struct {
	Kind    FleetKind
	Servers []Server
}

// PeerMessage is a message from another aggregator. Messages may be lost.
type PeerMessage struct {
	Peer int // its number, as in Settings.Self
	Text string
}

// AlarmRang reports that an alarm set by SetAlarm is due. Only the latest alarm counts.
type AlarmRang struct{ ID int64 }

// SettingsChanged puts other settings in force. They must be valid and have the same Shards, Cells and CellsPerShard.
// A query that is open keeps the class that it came with.
type SettingsChanged struct{ Settings Settings }

// Learned is what a process hands to the one that takes its place. Times are of the clock that Step is given.
type Learned struct {
	Admission float64          // how far admission is open, 0 to 1
	Suspects  map[string]int64 // keys that bring down servers, and when each was found
	Servers   []LearnedServer
}

// LearnedServer is what was learnt of one server. Its weight decays from the times given.
type LearnedServer struct {
	Server             ServerID
	LatencyRatio       float64 // observed latency over predicted
	LatencyRatioAt     int64   // when it was last observed; 0: never
	Failures, Attempts float64 // decaying counts of failed attempts, and of all
	CountedAt          int64   // when one was last counted
}

// Recalled brings what the process before this one had learnt. That one may still be sending, so for one
// ExtraAttemptWindow the free part of the budget counts as spent. What was learnt of a server counts if it is in the
// list and has not started since.
type Recalled struct{ Learned }

// Holders is a table of the servers that have each shard. It is immutable. Of is empty for a shard that does not exist.
// Since is a version of a shard's holders: it differs whenever they do.
type Holders interface {
	Of(shard int) []ServerID
	Since(shard int) int64
}

// HoldersChanged puts a table of holders in force, in place of the settings' Shards, Cells and CellsPerShard or of an
// earlier table.
type HoldersChanged struct{ Holders Holders }

// Replanned replaces a part by others, since under the table in force its data is in other shards. The weights of Into
// add up to the part's own. No attempt of the part may be in flight.
type Replanned struct {
	Part ID
	Into []Part
}

func (HoldersChanged) isEvent()  {}
func (Replanned) isEvent()       {}
func (Query) isEvent()           {}
func (Part) isEvent()            {}
func (ClientLeft) isEvent()      {}
func (AttemptEnded) isEvent()    {}
func (ProbeEnded) isEvent()      {}
func (FleetChanged) isEvent()    {}
func (PeerMessage) isEvent()     {}
func (AlarmRang) isEvent()       {}
func (SettingsChanged) isEvent() {}
func (Recalled) isEvent()        {}

// Action is something that the owner of the Scheduler has to do: one of the types below, in the order given.
type Action interface{ isAction() }

// Send starts an attempt of a part. Attempts of a part number 0, 1, 2 in the order of their sends.
type Send struct {
	Part    ID
	Server  ServerID
	Timeout int64 // 0: until the client gives up
}

// Cancel cancels an attempt. Its AttemptEnded still follows.
type Cancel struct {
	Part    ID
	Attempt int
}

// Answer answers a query from the parts that are served. In a class with a second step the first Answer leads to the
// parts of that step, and the second is final.
type Answer struct {
	Query    ID
	Complete bool
}

// Refuse ends a query and promises its client that a retry does no harm.
type Refuse struct {
	Query      ID
	RetryAfter int64 // 0: no advice
}

// Fail ends a query without saying whether it has run.
type Fail struct{ Query ID }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server ServerID }

// SetAlarm requests AlarmRang with its ID at a time. It replaces an earlier alarm.
type SetAlarm struct{ ID, At int64 }

// Watch subscribes to changes of the fleet.
type Watch struct{}

// Fetch requests the complete list of servers.
type Fetch struct{}

// NotifyPeer sends a short message, 256 bytes at most, to another aggregator, or to all when Peer is negative. It may be
// lost.
type NotifyPeer struct {
	Peer int
	Text string
}

// Log is a line for the log. Lines are rare: each reports a change.
type Log struct{ Text string }

func (Send) isAction()       {}
func (Cancel) isAction()     {}
func (Answer) isAction()     {}
func (Refuse) isAction()     {}
func (Fail) isAction()       {}
func (CloseIdle) isAction()  {}
func (SetAlarm) isAction()   {}
func (Watch) isAction()      {}
func (Fetch) isAction()      {}
func (NotifyPeer) isAction() {}
func (Log) isAction()        {}
