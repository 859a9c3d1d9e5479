// Package schema holds the published JSON Schemas of what operators write, and judges files by them. It owns form only: what needs
// meaning is package config's and package routing's.
package schema

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Operator is the schema of the operator's file, Routing that of expectations.
var (
	//go:embed operator.schema.json
	Operator []byte
	//go:embed routing.schema.json
	Routing []byte
)

// Fault is one place that is not as the schema wants it.
type Fault struct {
	Path string // such as indices[1].ranges[3].to
	Text string
}

func (f Fault) Error() string { return f.Path + ": " + f.Text }

// Schema is a compiled schema.
type Schema struct{ of *jsonschema.Schema }

// Compile reads a schema, for those who hold many files against it.
func Compile(schema []byte) (*Schema, error) {
	c := jsonschema.NewCompiler()
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	if err := c.AddResource("schema.json", doc); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	s, err := c.Compile("schema.json")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return &Schema{s}, nil
}

// Judge holds a file against a schema, and gives all its faults joined.
func Judge(schema, file []byte) error {
	s, err := Compile(schema)
	if err != nil {
		return err
	}
	return s.Judge(file)
}

// Judge holds a file against the schema, and gives all its faults joined.
func (s *Schema) Judge(file []byte) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(file))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	var invalid *jsonschema.ValidationError
	if err := s.of.Validate(value); errors.As(err, &invalid) {
		return errors.Join(leaves(nil, invalid)...)
	}
	return err
}

// leaves are the faults themselves, without those that only say that something inside is wrong.
func leaves(dst []error, e *jsonschema.ValidationError) []error {
	if len(e.Causes) > 0 {
		for _, c := range e.Causes {
			dst = leaves(dst, c)
		}
		return dst
	}
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, key := range k.Properties {
			dst = append(dst, Fault{path(append(e.InstanceLocation[:len(e.InstanceLocation):len(e.InstanceLocation)], key)), "unknown key"})
		}
		return dst
	case *kind.Required:
		for _, key := range k.Missing {
			dst = append(dst, Fault{path(append(e.InstanceLocation[:len(e.InstanceLocation):len(e.InstanceLocation)], key)), "missing"})
		}
		return dst
	}
	return append(dst, Fault{path(e.InstanceLocation), e.ErrorKind.LocalizedString(message.NewPrinter(language.English))})
}

// path words a place as the program's own errors do.
func path(steps []string) string {
	var b strings.Builder
	for _, s := range steps {
		switch {
		case s != "" && strings.Trim(s, "0123456789") == "":
			b.WriteString("[" + s + "]")
		case b.Len() > 0:
			b.WriteString("." + s)
		default:
			b.WriteString(s)
		}
	}
	return b.String()
}
