package saffronquay

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The files that deploy/balancer.toml lists as the policy stay small enough to be read in one
// sitting. Every file of the module is either listed there or listed here. The state functions in
// replicas.go, queries.go and explain.go were once part of the policy files, so the same line width
// applies to them.
func TestPolicyFiles_SizeAndWidth(t *testing.T) {
	decides := policyFiles(t)
	plain := []string{
		"api.go", "doc.go", "explain.go", "handover.go", "queries.go", "replicas.go", "state.go", "statistics.go", "validate.go",
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	files = slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	if want := slices.Sorted(slices.Values(slices.Concat(decides, plain))); !slices.Equal(files, want) {
		t.Errorf("the module's files are %v, want %v", files, want)
	}
	for _, name := range []string{"replicas.go", "queries.go", "explain.go"} {
		checkWidth(t, name)
	}
	total := 0
	for _, name := range decides {
		lines := checkWidth(t, name)
		lines = slices.DeleteFunc(lines, func(l string) bool { return strings.TrimSpace(l) == "" })
		total += len(lines)
		if !strings.Contains(strings.Join(lines[:10], "\n"), "api.go") {
			t.Errorf("%s: the head comment does not name api.go", name)
		}
	}
	if total > 1000 {
		t.Errorf("policy files have %d non-blank lines, want at most 1000", total)
	}
}

// checkWidth checks that no line of a file is longer than 110 characters, and returns the lines.
func checkWidth(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(text), "\n")
	for i, l := range lines {
		if n := len([]rune(strings.ReplaceAll(l, "\t", "    "))); n > 110 {
			t.Errorf("%s: line %d has %d characters, want at most 110", name, i+1, n)
		}
	}
	return lines
}

// policyFiles returns the files that deploy/balancer.toml lists as the policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml: no line with the key policy")
	}
	var names []string
	for _, item := range strings.Split(string(line[1]), ",") {
		name, err := strconv.Unquote(strings.TrimSpace(item))
		if err != nil {
			t.Fatalf("deploy/balancer.toml: policy: %s: %v", item, err)
		}
		names = append(names, name)
	}
	return names
}
