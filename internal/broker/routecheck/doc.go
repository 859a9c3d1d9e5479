// Package routecheck evaluates expectations of how queries are routed, without sending any.
// Operators maintain the expectations together with their configuration. The package also explains
// how the parts of one query would be sent.
//
// The package defines the meaning of expectations. It does not plan or pick by itself: ranges come
// from the planner of the layout or of the search front end; holders and sends come from the
// decision module (saffronquay.Scheduler) with the settings that the broker uses.
//
// It does no input or output and reads no clock: decision modules run in virtual time. The package
// has no state between calls and starts no goroutine.
//
// An expectation that is not met has a Failure in its Result; an error means that nothing could be
// evaluated.
package routecheck
