// Package form is the encoding of the store's files and of the values in them. It is generated from
// form.proto; do not edit it. To generate it again, with protoc and protoc-gen-go v1.36.12 on the
// path: go generate ./internal/storage/recordlog/form
package form

//go:generate protoc --go_out=. --go_opt=paths=source_relative form.proto
