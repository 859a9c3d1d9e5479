// Package routecheck evaluates expectations of where queries go, without sending any. Operators keep the expectations beside their
// configuration. It also explains how the parts of one query would be sent.
//
// The package owns what an expectation means. It never plans or picks by itself: ranges come from the layout's planner or the search
// front's, holders and sends from the decision module (saffronquay.Scheduler) with the settings that the broker serves with.
//
// It does no input or output and reads no clock: modules run in virtual time. The package keeps no state between
// calls and starts no goroutine.
// An expectation that does not hold is a Failure in its Result; an error means that nothing could be evaluated.
package routecheck
