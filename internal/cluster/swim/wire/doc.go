// Package wire contains the messages between the gatherers of a fleet, generated from fleet.proto.
// Package swim defines their meaning and limits.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative fleet.proto
