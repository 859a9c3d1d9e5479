package fakebackend

import (
	"saffronquay/internal/broker/layout"
	"testing"
)

// Runs with the same X-Opaque-Id belong to one query. Runs without one must not be counted as
// duplicates of each other, only as runs without an id.
func TestLedger_DuplicatesByOpaqueID(t *testing.T) {
	span, beside := layout.Span{From: 0, To: 10}, layout.Span{From: 10, To: 20}
	for _, c := range []struct {
		what             string
		queries          []string
		spans            []layout.Span
		twice, withoutID int
	}{
		{"six queries without an id", []string{"", "", "", "", "", ""}, []layout.Span{span, span, span, span, span, span}, 0, 6},
		{"one query, two parts", []string{"a", "a"}, []layout.Span{span, beside}, 0, 0},
		{"one query, a part twice", []string{"a", "a"}, []layout.Span{span, span}, 1, 0},
		{"two queries", []string{"a", "b"}, []layout.Span{span, span}, 0, 0},
	} {
		l := &Ledger{}
		for i, q := range c.queries {
			l.record(q, true, c.spans[i], true)
		}
		if runs, twice, _ := l.Counts(); runs != len(c.queries) || twice != c.twice || l.RunsWithoutID() != c.withoutID {
			t.Errorf("%s: runs %d, twice %d, without ID %d", c.what, runs, twice, l.RunsWithoutID())
		}
	}
}
