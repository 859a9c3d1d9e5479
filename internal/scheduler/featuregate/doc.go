// Package featuregate defines the feature gates of the scheduler's decisions: each gate switches
// one mechanism off. All gates are on unless the section `decisions` of the settings file or the
// command line (--without, --policy) switches them off. Measurements with a gate switched off show
// the benefit of its mechanism.
//
// The package contains only values: the mechanisms themselves are in the packages that read a gate.
// It imports no other package of the project. Gates are plain data without a lock. Errors name the
// unknown value and list the allowed ones; they are meant for operators.
package featuregate
