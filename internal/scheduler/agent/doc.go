// Package agent is the role that links the proxy of its machine to the control plane.
//
// It takes part in the membership protocol, tails the feed of one controller at a time, and delivers what it learns to the proxy over
// loopback: the controllers' shards, and a shard of its own that lists the live processes. It also forwards what the proxy learns of
// models to a controller. It keeps nothing on disk and decides nothing: it must not know what the control state means.
//
// Concurrency: calls of the proxy run on goroutines of the server; the membership's goroutine publishes the members, and one goroutine
// tails the feed.
//
// Errors: while no controller is in touch, the proxy goes on with what it knows, and the gauge in_touch is 0. The role ends by an error only
// where it can't start or can't close its server in time.
package agent
