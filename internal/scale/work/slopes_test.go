package work

import (
	"context"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"testing"
)

// Measure covers all sizes of a slope and fits a line to each figure.
func TestSlope_MeasuresAllSizes(t *testing.T) {
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
			t.Errorf("%q is missing in the table:\n%s", want, text.String())
		}
	}
}

func TestSlope_Errors(t *testing.T) {
	quiet := SlopeConfig{Program: Program{File: "/nowhere"}, Logf: func(string, ...any) {}}
	for _, name := range append(Slopes(), "none") {
		if _, err := Measure(context.Background(), name, quiet); err == nil {
			t.Errorf("Measure of slope %s returned no error with a missing program", name)
		}
	}
	if !slices.Contains(Slopes(), "parts") {
		t.Errorf("Slopes() = %v, want parts among them", Slopes())
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Measure(ended, "parts", quiet); err != context.Canceled {
		t.Errorf("Measure returned %v, want context.Canceled", err)
	}
}
