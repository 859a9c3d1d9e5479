// Package wire has the messages of share.proto, generated.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative share.proto
