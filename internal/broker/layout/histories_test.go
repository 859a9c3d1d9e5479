package layout

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRecordedHistories checks that the same random draws give the recorded layouts and plans. The
// recorded text does not contain names of fields.
func TestRecordedHistories(t *testing.T) {
	drawn := rapid.Custom(func(t *rapid.T) string {
		var text strings.Builder
		layouts, steps := history(t)
		for _, l := range layouts {
			fmt.Fprintf(&text, "%v %v\n", l.Doc(), l.Plan(nil, drawSpans(t, l)))
		}
		fmt.Fprintf(&text, "%v\n", steps)
		return text.String()
	})
	played := map[string]string{}
	for seed := range 40 {
		played[fmt.Sprint("seed-", seed)] = drawn.Example(seed)
	}
	harness.CheckHistories(t, played)
}
