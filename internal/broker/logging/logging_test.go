package logging_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"log"
	"log/slog"
	"path/filepath"
	"saffronquay/internal/broker/logging"
	"slices"
	"strconv"
	"strings"
	"testing"
)

func TestOutput_FormatAndLevel(t *testing.T) {
	var b bytes.Buffer
	o := logging.New(&b, "text", slog.LevelInfo)
	l := o.Logger()
	logging.Info(l, logging.Start, "name", "g", "listen", "127.0.0.1:1")
	logging.Debug(l, logging.Start)
	if got := b.String(); !strings.HasSuffix(got, " level=info event=start name=g listen=127.0.0.1:1\n") || strings.Count(got, "\n") != 1 {
		t.Errorf("%q", got)
	}
	b.Reset()
	o.SetFormat("json")
	if err := o.SetLevel("warn"); err != nil {
		t.Fatal(err)
	}
	logging.Info(l, logging.Start)
	logging.Warn(l.With("gatherer", "g"), logging.LayoutKept, "error", io.EOF)
	if got := b.String(); !strings.Contains(got, `"level":"warn","event":"layout_kept","error":"EOF","gatherer":"g"`) || strings.Count(got, "\n") != 1 {
		t.Errorf("%q", got)
	}
	if o.SetLevel("loud") == nil {
		t.Error("SetLevel accepted an unknown level")
	}
}

// A frequent event is limited to a few lines per second; a rare event is not limited.
func TestOutput_LimitsFrequentEvents(t *testing.T) {
	var b bytes.Buffer
	l := logging.New(&b, "text", slog.LevelInfo).Logger()
	for range 1000 {
		logging.Warn(l, logging.VrrpDiscard, "from", "x")
		logging.Info(l, logging.Reload)
	}
	if n := strings.Count(b.String(), "vrrp_discard"); n < 5 || n > 15 {
		t.Errorf("%d of 1000 lines of a limited event written, want 5 to 15", n)
	}
	if n := strings.Count(b.String(), "event=reload"); n != 1000 {
		t.Errorf("%d of 1000 lines of an unlimited event written", n)
	}
}

// Every call of this package's functions uses an event and fields of the table, every event is
// used, and no package prints with package log.
func TestEvents_AllInTable(t *testing.T) {
	used := map[string]bool{}
	fset := token.NewFileSet()
	err := filepath.WalkDir("../../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "internal/storage/storebench") ||
			strings.Contains(path, "cmd/saffronquay-standin") {
			return err
		}
		f, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, is := n.(*ast.CallExpr)
			if !is {
				return true
			}
			sel, is := call.Fun.(*ast.SelectorExpr)
			if !is {
				return true
			}
			from, is := sel.X.(*ast.Ident)
			switch {
			case !is || from.Name != "logging":
			case !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, sel.Sel.Name):
			default:
				checkCall(t, fset.Position(call.Pos()).String(), call.Args, used)
			}
			if is && from.Name == "log" && strings.HasPrefix(sel.Sel.Name, "Print") {
				t.Errorf("%s: call of package log; use package logging", fset.Position(call.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for e := range logging.Fields {
		name := ""
		for _, part := range strings.Split(string(e), "_") {
			name += strings.ToUpper(part[:1]) + part[1:]
		}
		if !used[name] {
			t.Errorf("event %s is never logged", e)
		}
	}
}

// checkCall checks the event and the fields of a logging call.
func checkCall(t *testing.T, at string, args []ast.Expr, used map[string]bool) {
	name, is := args[1].(*ast.SelectorExpr)
	if !is {
		t.Errorf("%s: the event is not a constant of package logging", at)
		return
	}
	used[name.Sel.Name] = true
	var fields []string
	for e, fs := range logging.Fields {
		camel := ""
		for _, part := range strings.Split(string(e), "_") {
			camel += strings.ToUpper(part[:1]) + part[1:]
		}
		if camel == name.Sel.Name {
			fields = fs
		}
	}
	for i := 2; i < len(args); i += 2 {
		lit, is := args[i].(*ast.BasicLit)
		if !is {
			t.Errorf("%s: the name of a field is not a literal", at)
			continue
		}
		if field, err := strconv.Unquote(lit.Value); err != nil || !slices.Contains(fields, field) {
			t.Errorf("%s: %s has no field %s", at, name.Sel.Name, lit.Value)
		}
	}
}

// BenchmarkLines measures the cost of a line: with package log, as text, as JSON, below the minimum
// level, and above the limit per second.
func BenchmarkLines(b *testing.B) {
	b.Run("before", func(b *testing.B) {
		l := log.New(io.Discard, "", log.LstdFlags|log.Lmicroseconds|log.LUTC)
		l.SetOutput(writer{})
		for i := range b.N {
			l.Printf("level=info event=fleet generation=%d whole=%t entries=%d", i, true, 12)
		}
	})
	for _, format := range []string{"text", "json"} {
		b.Run(format, func(b *testing.B) {
			l := logging.New(writer{}, format, slog.LevelInfo).Logger()
			for i := range b.N {
				logging.Info(l, logging.Fleet, "generation", i, "whole", true, "entries", 12)
			}
		})
	}
	b.Run("below the level", func(b *testing.B) {
		l := logging.New(writer{}, "text", slog.LevelWarn).Logger()
		for i := range b.N {
			logging.Info(l, logging.Fleet, "generation", i, "whole", true, "entries", 12)
		}
	})
	b.Run("sampled", func(b *testing.B) {
		l := logging.New(writer{}, "text", slog.LevelInfo).Logger()
		for range b.N {
			logging.Info(l, logging.Note, "text", "x")
		}
	})
}

type writer struct{}

func (writer) Write(p []byte) (int, error) { return len(p), nil }

func ExampleNew() {
	o := logging.New(writer{}, "text", slog.LevelInfo)
	logging.Info(o.Logger(), logging.Stopped)
	fmt.Println(o.SetLevel("debug"), o.SetLevel("loud"))
	// Output: <nil> want debug, info, warn or error, not "loud"
}
