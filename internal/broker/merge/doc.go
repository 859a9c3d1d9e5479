// Package merge combines the partial answers of the servers to one query into one answer.
//
// A Plan states what a query requests: the sort keys, the page, the limit of the hit count, and the
// aggregations. Plan.Read and Plan.ReadBinary validate the answer of one server against the plan
// and return a Part; an answer that does not match fails with ErrMalformedPart and counts as a
// failed attempt. A State merges parts. The result does not depend on the order in which parts are
// added. CompletenessPolicy derives from the weights of the received parts whether an answer may be
// returned and whether it is complete.
//
// The package does no input or output, reads no clock and contacts no server. It does not decide
// which parts a query has or when a query ends: that is the decision module's task. Memory is
// bounded by the size of the parts: a Part retains its text, its sort values and its aggregations
// (Part.Size estimates the latter two); an answer has at most MaxBuckets buckets.
//
// Plan.Read and Plan.ReadBinary do not modify the plan and may run concurrently. A State is not
// safe for concurrent use. Errors are sentinels (ErrPlan, ErrAggregation, ErrMalformedPart,
// ErrDuplicateDocument, ErrTotalOverflow, ErrBuckets) or a *MixedError. docs/SEARCH.md describes
// the design.
package merge
