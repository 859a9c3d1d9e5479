// Package wire is the generated form of what gatherers tell each other about versions of the policy, and of the voters' log. Package
// rollout owns its meaning and its bounds.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative rollout.proto
