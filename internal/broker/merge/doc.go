// Package merge makes one answer of the parts of a query.
//
// A Plan says what a query requests: the keys of the order, the page, how far hits are counted, and the aggregations. Plan.Read and
// Plan.ReadBinary validate the answer of one server against the plan and give a Part; an answer that does not match fails with
// ErrMalformedPart and is a failed attempt. A State merges parts. The result does not depend on the order in which parts are added.
// CompletenessPolicy tells from the weights of the received parts whether an answer may be given and whether it is complete.
//
// The package does no input or output, reads no clock and contacts no server. It does not decide which parts a query has or when a
// query ends: that is the decision module's task. Memory is bounded by the bytes of the parts: a Part keeps its text, its sort values
// and its aggregations (Part.Size estimates them); an answer has at most MaxBuckets buckets.
//
// Plan.Read and Plan.ReadBinary do not change the plan and may run concurrently. A State has one owner. Errors are sentinels (ErrPlan,
// ErrAggregation, ErrMalformedPart, ErrDuplicateDocument, ErrTotalOverflow, ErrBuckets) or a *MixedError. docs/SEARCH.md has the reasons.
package merge
