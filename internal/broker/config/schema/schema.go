package schema

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// The published schemas, as JSON text. Callers must not change them.
var (
	// Operator is the schema of the operator's file.
	//
	//go:embed operator.schema.json
	Operator []byte
	// Routing is the schema of a file of routing expectations.
	//
	//go:embed routing.schema.json
	Routing []byte
)

// ValidationError is one value of a file that does not match the schema.
type ValidationError struct {
	Path string // of the faulty value, such as indices[1].ranges[3].to; empty for the file itself
	Text string // description of the fault, in English
}

func (f ValidationError) Error() string { return f.Path + ": " + f.Text }

// Schema is a compiled schema. It is immutable and safe for concurrent use.
type Schema struct{ compiled *jsonschema.Schema }

// Compile compiles a JSON Schema, for callers that validate several files with it.
func Compile(schema []byte) (*Schema, error) {
	c := jsonschema.NewCompiler()
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, fmt.Errorf("schema: parse: %w", err)
	}
	if err := c.AddResource("schema.json", doc); err != nil {
		return nil, fmt.Errorf("schema: add resource: %w", err)
	}
	s, err := c.Compile("schema.json")
	if err != nil {
		return nil, fmt.Errorf("schema: compile: %w", err)
	}
	return &Schema{s}, nil
}

// Validate compiles a schema and validates the text of a file with it. Its errors are those of
// Compile and of Schema.Validate.
func Validate(schema, file []byte) error {
	s, err := Compile(schema)
	if err != nil {
		return err
	}
	return s.Validate(file)
}

// Validate validates the text of a file. If the text is JSON, the error joins one ValidationError
// for each fault.
func (s *Schema) Validate(file []byte) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(file))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	var invalid *jsonschema.ValidationError
	if err := s.compiled.Validate(value); errors.As(err, &invalid) {
		return errors.Join(appendErrors(nil, invalid)...)
	}
	return err
}

// appendErrors appends the innermost causes of a validation error. The enclosing errors only say
// that some part is invalid.
func appendErrors(dst []error, e *jsonschema.ValidationError) []error {
	if len(e.Causes) > 0 {
		for _, c := range e.Causes {
			dst = appendErrors(dst, c)
		}
		return dst
	}
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return appendKeyErrors(dst, e.InstanceLocation, k.Properties, "unknown key")
	case *kind.Required:
		return appendKeyErrors(dst, e.InstanceLocation, k.Missing, "missing")
	}
	return append(dst, ValidationError{formatPath(e.InstanceLocation), e.ErrorKind.LocalizedString(message.NewPrinter(language.English))})
}

// appendKeyErrors appends an error with the same text for each of the given keys of the object at a
// location.
func appendKeyErrors(dst []error, location, keys []string, text string) []error {
	for _, key := range keys {
		path := append(slices.Clip(location), key)
		dst = append(dst, ValidationError{formatPath(path), text})
	}
	return dst
}

// formatPath formats the location of a value in the same way as the errors of package config.
func formatPath(steps []string) string {
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
