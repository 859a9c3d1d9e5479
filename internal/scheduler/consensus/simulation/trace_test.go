package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// TestTrace prints the events of the history selected by SAFFRONQUAY_SEED.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SAFFRONQUAY_SEED"), 10, 64)
	if err != nil {
		t.Skip("SAFFRONQUAY_SEED is not set")
	}
	options := proofOptions(seed)
	options.Trace = func(format string, values ...any) { fmt.Printf(format+"\n", values...) }
	report, err := Play(options)
	t.Logf("%+v %v", report, err)
}
