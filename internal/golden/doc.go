// Package golden contains only tests. They compare the data that the programs write to disks and
// the network, and the names that operators see, with files written by an earlier build. A
// difference would break a fleet of mixed versions, a restart on existing data, or an operator's
// scripts. With SAFFRONQUAY_GOLDEN=write in the environment the tests rewrite the files; use that
// only for intended changes of a format.
package golden
