// Package steady has property tests draw the same cases each time, so that a run's verdict hangs on the code alone. Tests import it for
// that effect; '-rapid.seed N' on the command line draws others. It must never be imported by the program.
package steady

import (
	"flag"

	_ "pgregory.net/rapid" // has the flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
