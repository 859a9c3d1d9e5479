package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/config/schema"
	"saffronquay/internal/broker/routecheck"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"saffronquay": main})
}

// TestScripts runs the scripts in testdata/script, which call the commands as a user would.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(e *testscript.Env) error {
		e.Setenv("SAFFRONQUAY_OPERATOR_FILE", "")
		for _, name := range []string{"layout.json", "durable.json", "opensearch.json", "routing.json", "fleet.json", "rollout.json", "regions.json"} {
			text, err := os.ReadFile("../../deploy/" + name)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(e.WorkDir+"/deploy", 0o755); err != nil {
				return err
			}
			if err := os.WriteFile(e.WorkDir+"/deploy/"+name, text, 0o644); err != nil {
				return err
			}
		}
		return nil
	}, Cmds: map[string]func(*testscript.TestScript, bool, []string){
		// narrow FILE fails if a line of FILE is wider than 40 columns.
		"narrow": func(ts *testscript.TestScript, _ bool, words []string) {
			for line := range strings.Lines(ts.ReadFile(words[0])) {
				if len(strings.TrimSuffix(line, "\n")) > 40 {
					ts.Fatalf("%d wide: %s", len(line), line)
				}
			}
		},
	}})
}

// TestReadmeCommands_AreScripted checks that a script runs each command that the README shows, so
// that the examples a new user types first keep working.
func TestReadmeCommands_AreScripted(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	script, err := os.ReadFile("testdata/script/readme.txtar")
	if err != nil {
		t.Fatal(err)
	}
	scripted := 0
	for line := range strings.Lines(string(readme)) {
		words, is := strings.CutPrefix(strings.TrimSpace(line), "bin/saffronquay ")
		if !is || !strings.HasPrefix(line, "    ") {
			continue
		}
		words, _, _ = strings.Cut(words, " #")
		if !strings.Contains(string(script), "saffronquay "+strings.TrimSpace(words)) {
			t.Errorf("no script runs the README command: %s", words)
		}
		scripted++
	}
	if scripted < 2 {
		t.Errorf("README shows %d commands, want at least 2", scripted)
	}
}

// malformedValues are values that a file may contain by mistake.
var malformedValues = []any{nil, true, "", "x", "127.0.0.1:1", 0, -1, 1.5, 1e30, []any{}, map[string]any{}, map[string]any{"odd": 1}, []any{map[string]any{}}}

// forEachMutation calls use with every copy of a JSON value that has exactly one fault: a missing
// or misspelt key, a malformed value in place of any other, or one array entry too few or too many.
func forEachMutation(v any, use func(any)) {
	for _, o := range malformedValues {
		use(o)
	}
	switch x := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(x)) {
			less := maps.Clone(x)
			delete(less, k)
			use(less)
			less[k+"x"] = x[k]
			use(less)
			forEachMutation(x[k], func(o any) {
				other := maps.Clone(x)
				other[k] = o
				use(other)
			})
		}
	case []any:
		use(append(slices.Clone(x), "x"))
		if len(x) == 0 {
			return
		}
		use(slices.Delete(slices.Clone(x), 0, 1))
		use(append(slices.Clone(x), x[0]))
		forEachMutation(x[0], func(o any) { // all entries have the same form
			other := slices.Clone(x)
			other[0] = o
			use(other)
		})
	}
}

// TestDamagedFiles checks that a malformed operator's file is either rejected or harmless and never
// causes a panic, and that the parser rejects whatever the schema rejects. It is exhaustive over
// single faults rather than random, so that the outcome is deterministic.
func TestDamagedFiles(t *testing.T) {
	expectations, err := os.ReadFile("../../deploy/routing.json")
	if err != nil {
		t.Fatal(err)
	}
	es, err := routecheck.Parse(expectations)
	if err != nil {
		t.Fatal(err)
	}
	compiled, err := schema.Compile(schema.Operator)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"layout", "durable", "opensearch", "fleet", "rollout", "regions"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file, err := os.ReadFile("../../deploy/" + name + ".json")
			if err != nil {
				t.Fatal(err)
			}
			var document any
			if err := json.Unmarshal(file, &document); err != nil {
				t.Fatal(err)
			}
			accepted, rejected := 0, 0
			forEachMutation(document, func(v any) {
				text, err := json.Marshal(v)
				if err != nil {
					t.Fatal(err)
				}
				op, perr := config.ParseOperator(text)
				if serr := compiled.Validate(text); serr != nil && perr == nil {
					t.Errorf("the schema rejects a file that the parser accepts: %v\n%s", serr, text)
				}
				if perr != nil {
					rejected++
					return
				}
				accepted++
				r, err := operatorRoster("damaged", op)
				if err != nil {
					return
				}
				if _, err := routecheck.Evaluate(r, nil, es); err != nil && !strings.Contains(err.Error(), "settings") {
					t.Errorf("%v", err)
				}
			})
			if accepted == 0 || rejected == 0 {
				t.Errorf("%d accepted, %d rejected", accepted, rejected)
			}
			t.Logf("%d accepted, %d rejected", accepted, rejected)
		})
	}
}

// TestOperatorFile_SchemaAndParserAgreeOnPaths checks that the schema and the parser report a
// malformed value under the same path, and that the parser reports all faults of a file at once.
func TestOperatorFile_SchemaAndParserAgreeOnPaths(t *testing.T) {
	text, err := os.ReadFile("../../deploy/durable.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, path string }{
		{`"listen"`, `"listn"`, "listen"},
		{`"listen"`, `"listn"`, "listn"},
		{`"name": "invoices"`, `"name": 7`, "indices[0].name"},
		{`"id": "ledger-3"`, `"id": "ledger-3", "zoned": "a"`, "servers[3].zoned"},
		{`"keep_ms": 900000`, `"keep_ms": "long"`, "store.keep_ms"},
		{`"effect": "free"`, `"effect": "odd"`, "settings.classes[0].effect"},
		{`"free": 10`, `"free": -1`, "tenants[0].budget"},
		{`"partials": "protobuf"`, `"partials": "xml"`, "indices[0].partials"},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		for name, err := range map[string]error{"schema": schema.Validate(schema.Operator, []byte(changed)), "program": parse(changed)} {
			if err == nil || !slices.ContainsFunc(splitFaults(err), func(f string) bool { return strings.HasPrefix(f, c.path) }) {
				t.Errorf("%s replaced by %s: the %s reports %v", c.from, c.to, name, err)
			}
		}
	}
	// All faults of a file are reported at once, an unknown key with the most similar known one.
	changed := strings.NewReplacer(`"listen"`, `"listn"`, `"zone": "villa-maria"`, `"zoone": "villa-maria"`, `"keep_ms": 900000`, `"keep_ms": 1`, `"most": 100,`, `"most": 100, "most": 200,`).Replace(string(text))
	for _, want := range []string{"listen: missing", `listn: unknown key; is it "listen"?`, `servers[2].zoone: unknown key; is it "zone"?`, "store.keep_ms: want", "cursors.most: it is there twice"} {
		if err := parse(changed); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q in %v", want, err)
		}
	}
}

func parse(text string) error {
	_, err := config.ParseOperator([]byte(text))
	return err
}

// TestReadStable_RereadsChangingFile checks that a file that changes while it is read is read
// again, and that one that changes with every read is an error.
func TestReadStable_RereadsChangingFile(t *testing.T) {
	texts := []string{"{", "{}", "{}"}
	n := 0
	got, err := config.ReadStable("f", func(string) ([]byte, error) { n++; return []byte(texts[min(n-1, 2)]), nil })
	if err != nil || string(got) != "{}" {
		t.Errorf("ReadStable returned %q, %v", got, err)
	}
	if _, err := config.ReadStable("f", func(string) ([]byte, error) { n++; return []byte(fmt.Sprint(n)), nil }); err == nil {
		t.Error("no error for a file that changes with every read")
	}
}

// TestWrap checks that text is broken at spaces and never exceeds the width, and that it is
// unchanged without a width. Progress is not written to an output that is not a terminal.
func TestWrap(t *testing.T) {
	text := "FAIL two zones (a zone has been lost twice)\n" + strings.Repeat("x", 95) + "\n"
	for line := range strings.Lines(wrap(text, 40)) {
		if len(line) > 41 {
			t.Errorf("line exceeds 40 columns: %q", line)
		}
	}
	if got := strings.NewReplacer("\n", "", " ", "").Replace(wrap(text, 40)); got != strings.NewReplacer("\n", "", " ", "").Replace(text) {
		t.Errorf("wrapping changed the text: %q", got)
	}
	if wrap(text, 0) != text {
		t.Error("text changed without a width")
	}
	var out bytes.Buffer
	c := &cli{out: &out, errs: &out}
	c.progress("half")
	if out.Len() > 0 {
		t.Error("progress written without a terminal")
	}
}
