// Package settings reads the settings file of a process of the rollout scheduler: its name and place, where it listens, what its machine
// grants it, the bounds that its deployment sets, and the feature gates.
//
// # What it owns
//
// Settings is the content of a file; its TOML keys are part of the operators' interface. Keys that it does not have are ignored. Parse gives
// missing keys their defaults and reports all faults together, each with its key. Source returns the settings that are in force and reads the
// file again after it was changed. The package also knows the layout of a machine's port range.
//
// # What it must not know
//
// The package does not act on the settings, and it does not know the command line: its caller passes what the command line overrides as a
// function of type Override.
//
// # Concurrency and errors
//
// A Source may be used from any goroutine. The Settings that it returns are shared and must not be changed. Only the first read of the file can
// fail; if a changed file cannot be read, the settings before it stay in force and nothing is logged.
package settings
