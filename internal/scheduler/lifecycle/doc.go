// Package lifecycle manages the goroutines of a role: it starts them, logs servers that fail, and waits
// for all of them, for a bounded time, when the role stops. It must not know what they do.
package lifecycle
