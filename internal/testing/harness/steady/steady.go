// Package steady makes property tests draw the same cases in each run, so that a result depends on the code alone. Tests import it for its
// effect, which is to set the flag rapid.seed before the tests start; '-rapid.seed N' on the command line draws other cases. The program
// must not import it.
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
