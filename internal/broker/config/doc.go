// Package config reads the environment, the platform's configuration file and the operator's file.
// It validates them and supplies defaults. No other package reads them.
//
// A file is validated completely: all errors are returned together, each with the full name of its
// key. Unknown and duplicate keys are errors. Names of keys are part of the operators' interface
// and never change. This package checks syntax and types; package saffronquay (Settings.Validate)
// checks the meaning of classes and limits.
//
// The package keeps no state. Load and LoadOperator are used at the start. Reload and
// ReloadOperator also check that the new file can replace the one in force without a restart.
package config
