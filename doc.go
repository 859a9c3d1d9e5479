// Package saffronquay is the decision module of the query broker. For one aggregator, which reads many shards for one
// query, it decides which replica gets each part, when to retry or hedge, when to answer, and what to refuse.
//
// # Contract
//
// The module is a state machine. Its owner passes what it has seen as events to Scheduler.Step and carries out the
// returned actions in their order. The module does no input or output, starts no goroutine and reads no clock, file
// or environment. It imports only the standard library.
//
// Inputs are the Settings and the seed given to New, and the time and events given to Step. The same settings, seed
// and sequence of steps give the same actions: random choices come from a generator that is seeded once, and no
// decision depends on the order of a map. A step is the unit of decision: all of its events are applied, in their
// order, before a query is answered or a part is sent.
//
// Times are microseconds of one clock that the caller owns; it must never run backwards. Work is microseconds of one
// core. Weights of parts are on the scale of Class.CompleteWeight, where 1 is all of a
// query. Tenant.Quota is queries a second.
//
// The owner keeps these promises: an ID is never reused; each Send gets exactly one AttemptEnded, also after a
// Cancel; a SetAlarm is answered by AlarmRang with its ID at or after its time, unless a later one has been set.
// An event that refers to something unknown or ended is ignored, so a late or repeated one is harmless.
//
// # Concurrency and errors
//
// A Scheduler is not safe for concurrent use. New and Settings.Validate report settings that make no sense; Step
// returns no error. Settings of a SettingsChanged must be valid, which its sender checks.
//
// # Files
//
// Types are in api.go. The decisions are in the files that deploy/balancer.toml names as policy, beginning with the
// event loop in scheduler.go; all other files keep state and decide nothing.
package saffronquay
