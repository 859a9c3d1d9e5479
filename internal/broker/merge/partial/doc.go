// Package partial is the binary encoding of partial answers between servers and the gatherer. It is
// generated from partial.proto; do not edit it. To generate it again, with protoc and
// protoc-gen-go v1.36.12 on the path: go generate ./internal/broker/merge/partial
package partial

//go:generate protoc --go_out=. --go_opt=paths=source_relative partial.proto
