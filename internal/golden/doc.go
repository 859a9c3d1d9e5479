// Package golden holds no code of the programs, only tests: they compare what the programs write to disks and wires, and what they tell
// people, with files that an earlier build wrote. What differs would break a mixed fleet, a restart on old data, or an operator's scripts.
// With SAFFRONQUAY_GOLDEN=write in the environment the tests write the files anew; that is for changes of a format that are meant.
package golden
