// Package saffronquay decides, for one aggregator that reads many shards for one query, which replica gets
// each part, when to try again, when to answer and what to turn away. It does no input or output: a front
// node feeds what it sees to Scheduler.Step and carries out the actions that come back.
//
// This file is the whole interface and holds types only; the decisions are in scheduler.go. All times are
// microseconds of one clock that the caller owns and that never runs backwards.
package saffronquay

// ID names a query or a part. Queries and parts share one space of ids, which are never reused.
type ID int64

// ServerID names a server; it is returned exactly as it was given.
type ServerID string

// Effect tells how often a part of a class may be carried out.
type Effect int

// The effects of a class.
const (
	Idempotent   Effect = iota // may be repeated freely
	Deduplicated               // repeats are dropped by the servers for a limited time
	AtMostOnce                 // must never be carried out twice
)

// Class is one class of query.
type Class struct {
	Name                 string
	LatencyTarget        int64   // an answer within this time earns the whole worth
	LatencyTargetStretch float64 // the aim grows by this multiple of the query's own work
	HardLimit            int64   // how long a client waits over all its tries
	Value                float64
	LateValue            float64 // the fraction of Worth earned after the aim
	Effect               Effect
	DedupWindow          int64 // for Deduped: how long servers drop repeats
	// Need is the weight that makes a whole answer, Floor the least that may be answered at all, and
	// Partial scales what an answer that is not whole earns.
	CompleteWeight, MinWeight, PartialValue float64
	SecondStepParts                         int // parts of a second step; 0 for none
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int
	Hedging       bool
	MayCancel     bool
	PeerMessages  bool // messages to other aggregators are allowed
	RetryAfter    bool
	MaxRetryAfter int64
}

// Rules holds the figures of the rules that must never be broken.
type Rules struct {
	AnswerGrace       int64 // a final answer still counts so long after the deadline
	DrainGrace        int64 // sends to a draining or gone server must cease within this
	SlowStartFraction float64
	WarmUp            int64
	OverloadMultiple  float64
	OverloadWindow    int64
	MembershipWithin  int64
	// Budgeted says that further attempts are rationed: over any ExtraWindow at most FreeExtras plus
	// ExtraRatio of the requests taken.
	Budgeted           bool
	FreeExtraAttempts  float64
	ExtraAttemptRatio  float64
	ExtraAttemptWindow int64
}

// Prices are the charges, as fractions of the worth asked for, that a decision weighs.
type Prices struct {
	CrossZone float64
}

// Tenant is one of those who share the deployment.
type Tenant struct {
	Name  string
	Quota float64 // queries a second, at all aggregators together, that are within its share
}

// Settings is what an aggregator is told at its start.
type Settings struct {
	Self, Aggregators            int
	Zone                         string
	Period                       int64 // the least time between two steps
	Classes                      []Class
	Shards, Cells, CellsPerShard int   // shard s is held by cells (s+j) mod Cells for j below Reach
	CallOverhead                 int64 // work that a call costs a server beside its parts
	PartsPerCall                 int
	WatchMembership              bool     // changes of the fleet come only after Watch or Fetch
	Tenants                      []Tenant // none where they are not told apart
	OverQuotaValue               float64  // the fraction of a query's worth that is left beyond its tenant's share
	Limits                       Limits
	Rules                        Rules
	Prices                       Prices
}

// Health is what the list of servers says of one.
type Health int

// The states of a listed server.
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
	StartedAt int64 // its latest start; 0 means long ago
}

// LoadReport is what a server says of itself. A negative field was not reported.
type LoadReport struct {
	Queue       float64 // parts waiting
	InFlight    float64 // parts in hand
	Throughput  float64 // parts served a second
	Utilization float64 // share of its cores that is busy
}

// Outcome is the end of one attempt or probe.
type Outcome int

// The outcomes. Only Rejected, Unreachable, NotSent and Misplaced prove that the attempt never ran.
const (
	Served Outcome = iota
	Errored
	Rejected
	TimedOut
	Unreachable
	Broken
	Cancelled
	NotSent
	Stranded // its connection was given up for another reason: that says nothing of the server
	// Misplaced: the server holds the shard no longer, by a table that is newer than the one here. It never ran, and says
	// nothing of the server; the part does not go there again until its holders change.
	Misplaced
)

// Event is something that an aggregator has seen: one of the types below.
type Event interface{ isEvent() }

// Query is the arrival of a query; its parts follow within the same step.
type Query struct {
	ID       ID
	Group    int64 // ties parts to their query
	Class    string
	Tenant   string // "" where there are none
	Deadline int64
	Work     int64 // hint of the work of all parts; 0 when there is none
	Key      string
}

// Part is the arrival of one part of a query, of its first or its second step.
type Part struct {
	ID     ID
	Group  int64
	Shard  int
	Weight float64
	Work   int64 // cost hint; 0 when there is none
	Key    string
}

// ClientLeft says that nobody waits for a query any more.
type ClientLeft struct{ Query ID }

// AttemptEnded is the one outcome of an attempt.
type AttemptEnded struct {
	Part    ID
	Attempt int
	Server  ServerID
	Outcome Outcome
	Latency int64
	Report  *LoadReport
}

// ProbeEnded is the outcome of a probe, where the front node sends probes of its own.
type ProbeEnded struct {
	Server  ServerID
	Outcome Outcome
	Latency int64
	Report  *LoadReport
}

// FleetKind tells how a FleetChanged is to be read.
type FleetKind int

// The kinds of news about the fleet.
const (
	FleetDelta  FleetKind = iota // the changed entries only
	FleetFull                    // the complete list
	FleetCached                  // the complete list as last held, perhaps stale
	FleetFailed                  // a Watch or Fetch failed, or the subscription broke
)

// FleetChanged brings news of the list of servers.
type FleetChanged struct {
	Kind    FleetKind
	Servers []Server
}

// PeerSaid is a message from another aggregator; some are lost.
type PeerMessage struct {
	Peer int // its number, as in Settings.Self
	Text string
}

// AlarmRang says that an alarm set by SetAlarm is due.
type AlarmRang struct{ ID int64 }

// SettingsChanged puts other settings in force, of the same layout (Shards, Cells, Reach) and valid. A query that is
// open keeps the class that it came with.
type SettingsChanged struct{ Settings Settings }

// Learned is what a process hands to the one that takes its place.
type Learned struct {
	Admission float64          // how far admission is open, 0 to 1
	Suspects  map[string]int64 // keys that bring down servers, and when that was found
	Servers   []LearnedServer
}

// Known is what was learnt of one server. It fades from its times on.
type LearnedServer struct {
	Server             ServerID
	LatencyRatio       float64 // observed latency over predicted
	LatencyRatioAt     int64   // when it was last observed; 0: never
	Failures, Attempts float64 // decaying counts of attempts, and of those that failed
	CountedAt          int64   // when one was last counted
}

// Recalled brings what the process before this one had learnt. That one may still be sending: for one window the free
// part of the budget counts as spent. What it says of servers counts for those in the list that have not started since.
type Recalled struct{ Learned }

// Holders tells which servers hold a shard, and a number that is another whenever those of a shard are others. A shard that is
// not there has none. It never changes once it is given.
type Holders interface {
	Of(shard int) []ServerID
	Since(shard int) int64
}

// HoldersChanged puts a table of holders in force, in the place of the settings' Shards, Cells and Reach or of another table.
type HoldersChanged struct{ Holders Holders }

// Replanned says that a part is to be read from other shards, under the table in force: it is over, and the parts named, whose
// weights add up to its own, stand in its place. Nothing of it is out.
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

// Action is something that the front node has to do: one of the types below, in the order given.
type Action interface{ isAction() }

// Send starts an attempt of a part. Attempts of a part number 0, 1, 2 in the order of their sends.
type Send struct {
	Part    ID
	Server  ServerID
	Timeout int64 // 0: until the client gives up
}

// Cancel gives up waiting for an attempt.
type Cancel struct {
	Part    ID
	Attempt int
}

// Answer answers a query from the parts that are in. In a class with a second step the first Answer brings
// the parts of that step.
type Answer struct {
	Query    ID
	Complete bool
}

// Refuse ends a query and says that repeating it does no harm.
type Refuse struct {
	Query      ID
	RetryAfter int64 // 0: no advice
}

// Fail ends a query without any promise.
type Fail struct{ Query ID }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server ServerID }

// SetAlarm asks for AlarmRang at a time.
type SetAlarm struct{ ID, At int64 }

// Watch subscribes to changes of the fleet.
type Watch struct{}

// Fetch asks for the whole list of servers once.
type Fetch struct{}

// Tell sends a short message, 256 bytes at most, to another aggregator, or to all of them when Peer is negative.
type NotifyPeer struct {
	Peer int
	Text string
}

// Note is a line for the log: rare, and says what changed.
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
