// Package harness is the one harness for tests that start the program: it builds it once, starts it in places that outlast its processes,
// waits for what they say, and puts faults between and into several of them.
//
// It owns what it started, and ends it with the test. It waits for states, never for times: Patience only says "never". Ports are the
// system's choice. It judges nothing but the program's own cries (panics, data races, the deadline guard); verdicts are the tests'.
package harness
