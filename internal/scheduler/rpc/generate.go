// Package rpc is the internal protocol of the system: messages and services between its processes, generated from system.proto.
// The generated files are committed, so that a build needs no generator.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative system.proto
