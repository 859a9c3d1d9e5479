// Package simulation plays a fleet in virtual time: many gatherers, each with a decision module of its own, over servers with
// queues, warmth and stale reports. It is for designs at sizes that sockets don't reach, and for tests that assert what the
// sum of a fleet does. It owns no decision, opens nothing and reads no clock; the same seed gives the same day.
//
// What it leaves out: connections, processor time, lists that differ between gatherers, spoilt answers.
package simulation
