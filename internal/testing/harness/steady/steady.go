// Package steady fixes the seed of property tests, so that each run draws the same cases and a result
// depends on the code alone. Tests import it for its side effect: it sets the flag rapid.seed before
// the tests start. '-rapid.seed N' on the command line overrides it. The program must not import it.
package steady

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
