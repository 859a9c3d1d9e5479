// Package lifecycle owns the goroutines of a role: it starts them, logs servers that end by an error, and waits for all of them when the
// role stops, for a bounded time. It must not know what they do.
package lifecycle
