// Package agent implements the role that connects the proxy of its machine to the control plane.
//
// It takes part in the membership protocol, watches the feed of one controller at a time, and
// delivers the received state to the proxy over loopback: the controllers' shards, and its own
// shard with the live processes. It also forwards model policies from the proxy to a controller. It
// stores nothing on disk, decides nothing, and does not interpret the control state.
//
// Concurrency: calls of the proxy run on goroutines of the server; the membership's goroutine
// publishes the members, and one goroutine watches the feed.
//
// Errors: while no controller is in touch, the proxy continues with its current state, and the
// gauge in_touch is 0. The role returns an error only if it cannot start or cannot close its server
// in time.
package agent
