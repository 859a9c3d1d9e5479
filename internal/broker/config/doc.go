// Package config is the only package that reads the environment, the platform's configuration and the operator's file. It checks them and supplies defaults.
//
// A file is checked completely: all faults are returned together, each with the full name of its key, unknown keys and keys that stand twice included. Names of keys
// are part of the operators' interface and never change. What a class or limit means is checked by package saffronquay (Settings.Validate); this package checks form.
//
// Nothing here keeps state. Load and LoadOperator are for the start; Reload and ReloadOperator also check that the new file may take the place of the one in force without
// a restart.
package config
