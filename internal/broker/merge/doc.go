// Package merge makes one answer of the parts of a query: it owns the order of hits, the bounds of a page, totals, and what a
// query's completeness is. It is fed each part as it comes in, in any order, and the result never depends on that order.
//
// It does no input or output, reads no clock and asks no server for anything; which parts are wanted, and whether an answer in
// part may be given, is the decision module's word. Memory is bounded by the parts' own bytes: of a part it keeps its text and
// the sort values of as many hits as were asked for. docs/SEARCH.md has the reasons.
package merge
