// Package form is how the store's files and the values in them are written, generated from form.proto. Nothing here is written by
// hand. To generate it again, with protoc and protoc-gen-go v1.36.12 on the path: go generate ./internal/storage/recordlog/form
package form

//go:generate protoc --go_out=. --go_opt=paths=source_relative form.proto
