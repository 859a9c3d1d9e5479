// Package schema contains the published JSON Schemas of the files that operators write, and
// validates files against them.
//
// It checks the structure of a file only. The meaning of the values, and whether they are
// consistent, is checked by package config for the operator's file and by package routecheck for
// routing expectations.
//
// The package does no input or output: callers pass the text of a file. Each fault of a file is a
// ValidationError; several are joined, and errors.As finds them.
package schema
