// Package settings reads the settings file of a process of the rollout scheduler: its name and
// location, its listen addresses, its resource limits, the bounds of the deployment, and the feature
// gates.
//
// # Responsibilities
//
// Settings is the content of a file; its TOML keys are part of the operators' interface. Unknown keys
// are ignored. Parse sets the defaults of missing keys and reports all problems together, each with
// its key. Source returns the current settings and reloads the file after a change. The package also
// defines the layout of a machine's port range.
//
// # Boundaries
//
// The package does not act on the settings, and it does not know the command line: the caller passes
// the overrides of the command line as a function of type Override.
//
// # Concurrency and errors
//
// A Source is safe for concurrent use. The Settings that it returns are shared and must not be
// modified. Only the first read of the file returns an error: if a changed file is invalid or cannot
// be read, the previous settings stay in effect and nothing is logged.
package settings
