// Package events plays what befalls a large fleet in two regions, on the cores of package rollout and the parts of budgets that go with its
// leases, in virtual time, and counts what each gatherer sends and receives in each second: what a change of policy costs at the leader, and
// what a zone that is lost, or regions that are cut from each other, cost at the peak. Scripts are package faults'. The same seed gives
// the same run. It judges nothing: rollout/model holds the rules, over faults by seed.
//
// What it leaves out: processor time, bandwidth (a document of any size takes as long as a word), the headers of the network, clocks of
// different speed, and what dials and retries cost. A word is counted with the 8 bytes of its frame.
package events
