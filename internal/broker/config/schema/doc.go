// Package schema has the published JSON Schemas of the files that operators write, and validates files with them.
//
// It owns the form of a file only. What the values mean, and whether they agree with each other, is checked by package config for
// the operator's file and by package routecheck for routing expectations.
//
// The package does no input or output: callers pass the text of a file. Faults are ValidationErrors, joined where there are several;
// errors.As finds them.
package schema
