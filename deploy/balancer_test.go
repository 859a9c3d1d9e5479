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

// TestBalancerFile_NodePackages compares the list node of balancer.toml with the imports of the
// program: the list must cover every package of this module that cmd/saffronquay imports, and must not
// name one that it does not import.
func TestBalancerFile_NodePackages(t *testing.T) {
	named := nodePackages(t)
	used := map[string]bool{}
	collect(t, "cmd/saffronquay", used)
	covers := func(entry, pkg string) bool { return pkg == entry || strings.HasPrefix(pkg, entry+"/") }
	for pkg := range used {
		if !slices.ContainsFunc(named, func(entry string) bool { return covers(entry, pkg) }) {
			t.Errorf("deploy/balancer.toml: node lacks package %s, which cmd/saffronquay imports", pkg)
		}
	}
	for _, entry := range named {
		imported := false
		for pkg := range used {
			imported = imported || covers(entry, pkg)
		}
		if !imported {
			t.Errorf("deploy/balancer.toml: node names package %s, which cmd/saffronquay does not import", entry)
		}
	}
	if !slices.IsSorted(named) || len(slices.Compact(slices.Clone(named))) != len(named) {
		t.Errorf("deploy/balancer.toml: node is not sorted or has duplicates: %v", named)
	}
}

// nodePackages returns the list node of balancer.toml.
func nodePackages(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^node = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line 'node = [...]'")
	}
	var out []string
	for _, item := range strings.Split(string(line[1]), ",") {
		entry, err := strconv.Unquote(strings.TrimSpace(item))
		if err != nil {
			t.Fatalf("deploy/balancer.toml: node: entry %s: %v", item, err)
		}
		out = append(out, entry)
	}
	return out
}

// collect adds to seen a package of this module and the packages of this module that it imports. It
// leaves out the module's root package, which balancer.toml covers by its key policy.
func collect(t *testing.T, pkg string, seen map[string]bool) {
	t.Helper()
	if seen[pkg] {
		return
	}
	seen[pkg] = true
	files, err := fs.Glob(os.DirFS(".."), pkg+"/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("package %s: found %v Go files, error %v", pkg, len(files), err)
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
			if rest, internal := strings.CutPrefix(path, module); internal {
				collect(t, rest, seen)
			}
		}
	}
}
