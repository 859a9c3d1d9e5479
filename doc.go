// Package saffronquay is the decision module of the query broker. It makes the decisions of one
// aggregator (called a gatherer in the broker's packages), which splits each query into parts, one
// for each shard that the query reads: which replica serves a part, when a part is retried or
// hedged, when the query is answered, and which queries are refused.
//
// # Contract
//
// The module is a state machine. Its owner passes what it has seen as events to Scheduler.Step and
// carries out the returned actions in their order. The module does no input or output, starts no
// goroutine and reads no clock, file or environment. It imports only the standard library.
//
// Inputs are the Settings and the seed given to New, and the time and events given to Step. The
// same settings, seed and sequence of steps give the same actions: random choices come from a
// generator that is seeded once, and no decision depends on the iteration order of a map. A step is
// the unit of decision: all of its events are applied, in their order, before a query is answered
// or a part is sent.
//
// Times are microseconds of one clock that the caller owns and that never runs backwards. Work is
// microseconds of one core. Weights of parts are on the scale of Class.CompleteWeight, where 1 is
// the complete query. Tenant.Quota is in queries per second.
//
// The owner guarantees that an ID is never reused; that each Send gets exactly one AttemptEnded,
// also after a Cancel; and that a SetTimer is followed by TimerFired with its ID at or after its
// time, unless a later timer has replaced it. An event that refers to an unknown or ended object is
// ignored, so a late or repeated event is harmless.
//
// # Concurrency and errors
//
// A Scheduler is not safe for concurrent use. New and Settings.Validate return an error for invalid
// settings; Step returns no error. The sender of a SettingsChanged must have validated its
// settings.
//
// # Files
//
// Types are in api.go. The decisions are in the files that deploy/balancer.toml lists as the
// policy, starting with the event loop in scheduler.go; all other files keep state and make no
// decision.
package saffronquay
