package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed holds what CI passes over to exactly the tests that the list names.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	const suite = "package p\n\nfunc TestOne(t *testing.T) {}\nfunc TestTwo(t *testing.T) {}\nfunc TestThree(t *testing.T) {}\nfunc TestFour(t *testing.T) {}\n"
	for _, c := range []struct {
		name, list, also string
		absent           bool
		skip, says       string // says: what it fails with
	}{
		{name: "no file", absent: true},
		{name: "empty file", list: "\n"},
		{name: "one", list: "TestOne, a timer that rings late, 27\n", skip: "^(TestOne)$"},
		{
			name: "three, the last without its end of line", list: "TestOne, a, 1\nTestTwo, b, with commas, 2\n\nTestThree, c, #3",
			skip: "^(TestOne|TestTwo|TestThree)$",
		},
		{name: "four", list: "TestOne, a, 1\nTestTwo, b, 2\nTestThree, c, 3\nTestFour, d, 4\n", says: "3 at most"},
		{name: "a name that no test has", list: "TestGone, a, 1\n", says: "0 test files"},
		{name: "the beginning of a name", list: "TestO, a, 1\n", says: "0 test files"},
		{name: "a name that two tests have", list: "TestOne, a, 1\n", also: suite, says: "2 test files"},
		{name: "a name twice", list: "TestOne, a, 1\nTestOne, a, 1\n", says: "stands twice"},
		{name: "no cause", list: "TestOne, , 1\n", says: "TEST, CAUSE, ISSUE"},
		{name: "no issue", list: "TestOne, a\n", says: "TEST, CAUSE, ISSUE"},
		{name: "a pattern", list: "Test.*, a, 1\n", says: "TEST, CAUSE, ISSUE"},
	} {
		t.Run(c.name, func(t *testing.T) {
			root := t.TempDir()
			write := func(name, text string) {
				t.Helper()
				if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			write("a_test.go", suite)
			if c.also != "" {
				write("b_test.go", c.also)
			}
			if !c.absent {
				write("KNOWN-RED.txt", c.list)
			}
			cmd := exec.Command("bash", script, root)
			var told strings.Builder
			cmd.Stderr = &told
			out, err := cmd.Output()
			if c.says != "" {
				if err == nil || !strings.Contains(told.String(), c.says) {
					t.Fatalf("error %v, said %q; want a failure that says %q", err, told.String(), c.says)
				}
				return
			}
			if err != nil || strings.TrimSpace(string(out)) != c.skip {
				t.Fatalf("printed %q (error %v, said %q); want %q", out, err, told.String(), c.skip)
			}
			for _, line := range strings.Fields(strings.NewReplacer("^(", "", ")$", "", "|", " ").Replace(c.skip)) {
				if !strings.Contains(told.String(), line) {
					t.Errorf("does not name %s: %q", line, told.String())
				}
			}
		})
	}
}
