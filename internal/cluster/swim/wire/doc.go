// Package wire is the generated form of what gatherers tell each other. Package fleet owns its meaning and its bounds.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative fleet.proto
