// Package wire contains the messages about quotas, generated from share.proto. Package quota defines
// their meaning and limits.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative share.proto
