// Package wire contains the messages between gatherers about versions of the policy, and the records
// of the voters' log, generated from rollout.proto. Package rollout defines their meaning and limits.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative rollout.proto
