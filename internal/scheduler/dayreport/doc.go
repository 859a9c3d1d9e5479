// Package dayreport breaks down the score of a played day: what was lost by requests, what was charged, and beside each loss the bound below
// which no decision can bring it. It is for whoever tunes the scheduler for a new deployment.
//
// The package reads the JSON reports of the test bench and writes tables. It knows nothing of the scheduler's processes. All its functions
// are pure but for Write, and may be called concurrently.
package dayreport
