// Package featuregate names the single mechanisms by which the scheduler decides, each with a gate that switches it off. All gates are on unless the
// section `decisions` of the settings file or the command line (--without, --policy) says otherwise. To switch one off shows in a measurement what its
// mechanism gains.
//
// The package holds values only: the mechanisms themselves are in the packages that read a gate. It imports nothing of the project. Gates are plain data
// without a lock. Errors name what is not known and list what is; they are for an operator to read.
package featuregate
