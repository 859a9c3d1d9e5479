package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// TestTrace prints what happens in one history: SAFFRONQUAY_SEED says which.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SAFFRONQUAY_SEED"), 10, 64)
	if err != nil {
		t.Skip("SAFFRONQUAY_SEED is not set")
	}
	options := Options{Seed: seed, Machines: 3, Spares: int(seed % 2), Length: length, Trace: func(format string, values ...any) { fmt.Printf(format+"\n", values...) }}
	if seed%5 == 0 {
		options.Machines, options.Spares = 5, 1
	}
	report, err := Play(options)
	t.Logf("%+v %v", report, err)
}
