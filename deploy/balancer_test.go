package deploy

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "saffronquay/"

// TestNodeNamesEveryPackage holds the deploy file's list of what the real gatherer is made of against the tree: all that the
// program imports of this module is named, and nothing that is not there or that it does not use.
func TestNodeNamesEveryPackage(t *testing.T) {
	named := node(t)
	used := map[string]bool{}
	collect(t, "cmd/saffronquay", used)
	covers := func(entry, pkg string) bool { return pkg == entry || strings.HasPrefix(pkg, entry+"/") }
	for pkg := range used {
		if !slices.ContainsFunc(named, func(entry string) bool { return covers(entry, pkg) }) {
			t.Errorf("deploy/balancer.toml: node lacks %s, which the program is made of", pkg)
		}
	}
	for _, entry := range named {
		any := false
		for pkg := range used {
			any = any || covers(entry, pkg)
		}
		if !any {
			t.Errorf("deploy/balancer.toml: node names %s, which the program does not use", entry)
		}
	}
	if !slices.IsSorted(named) || len(slices.Compact(slices.Clone(named))) != len(named) {
		t.Errorf("deploy/balancer.toml: node is not in order, or names something twice: %v", named)
	}
}

// node is the list of that name.
func node(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^node = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line node")
	}
	var out []string
	for _, item := range strings.Split(string(line[1]), ",") {
		entry, err := strconv.Unquote(strings.TrimSpace(item))
		if err != nil {
			t.Fatalf("node: %s: %v", item, err)
		}
		out = append(out, entry)
	}
	return out
}

// collect adds a package of this module and all that it imports, the module's root apart, which the key policy stands for.
func collect(t *testing.T, pkg string, seen map[string]bool) {
	t.Helper()
	if seen[pkg] {
		return
	}
	seen[pkg] = true
	files, err := fs.Glob(os.DirFS(".."), pkg+"/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("package %s: %v files, %v", pkg, len(files), err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", name), nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			path, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			if rest, ours := strings.CutPrefix(path, module); ours {
				collect(t, rest, seen)
			}
		}
	}
}
