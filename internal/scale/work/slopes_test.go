package work

import (
	"context"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"testing"
)

// A slope is measured at all its sizes, and told with the line through each figure; what it has started is gone then.
func TestASlopeIsMeasured(t *testing.T) {
	path, err := harness.Binary()
	if err != nil {
		t.Fatal(err)
	}
	said := 0
	cfg := SlopeConfig{Program: Program{File: path, Hollow: []string{"scale", "workers"}}, Logf: func(string, ...any) { said++ }}
	table, err := Measure(context.Background(), "connections", cfg)
	if err != nil {
		t.Fatal(err)
	}
	if len(table.Rows) != 4 || len(table.Lines) != len(table.Figures) || said != 4 {
		t.Fatalf("%+v: want four sizes, and a line for each figure", table)
	}
	var text strings.Builder
	table.Write(&text)
	for _, want := range []string{"connections", "600", "slope", "misses", "us_part"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in\n%s", want, text.String())
		}
	}
}

func TestASlopeThatCannotBeMeasured(t *testing.T) {
	quiet := SlopeConfig{Program: Program{File: "/nowhere"}, Logf: func(string, ...any) {}}
	for _, name := range append(Slopes(), "none") {
		if _, err := Measure(context.Background(), name, quiet); err == nil {
			t.Errorf("%s was measured with no program", name)
		}
	}
	if !slices.Contains(Slopes(), "parts") {
		t.Errorf("%v", Slopes())
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Measure(over, "parts", quiet); err != context.Canceled {
		t.Errorf("%v after the end", err)
	}
}
