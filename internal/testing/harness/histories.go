package harness

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// recordedHistories is the file in the tested package with a line "name digest" for each history.
var recordedHistories = filepath.Join("testdata", "histories.txt")

// CheckHistories compares the SHA-256 digest of each history, by name, with the digests recorded in
// testdata/histories.txt of the tested package. Runs of white space count as one space, because the
// text format of protocol buffers varies them from build to build. If SAFFRONQUAY_RECORD is set, the
// file is written instead.
func CheckHistories(t T, played map[string]string) {
	t.Helper()
	digests := map[string]string{}
	for name, history := range played {
		digests[name] = fmt.Sprintf("%x", sha256.Sum256([]byte(strings.Join(strings.Fields(history), " "))))
	}
	if os.Getenv("SAFFRONQUAY_RECORD") != "" {
		recordHistories(t, digests)
		return
	}
	recorded := readHistories(t)
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		if recorded[name] != digests[name] {
			t.Errorf("the history %s has the digest %s, recorded is %q", name, digests[name], recorded[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(recorded)) {
		if _, ok := digests[name]; !ok {
			t.Errorf("the history %s is recorded and was not played", name)
		}
	}
}

// readHistories returns the recorded digests by history name.
func readHistories(t T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(recordedHistories)
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]string{}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) != 2 {
			t.Fatalf("%s: want a history name and its digest, got %q", recordedHistories, line)
		}
		recorded[words[0]] = words[1]
	}
	return recorded
}

// recordHistories writes the digests to recordedHistories, sorted by name.
func recordHistories(t T, digests map[string]string) {
	t.Helper()
	var text bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		fmt.Fprintln(&text, name, digests[name])
	}
	if err := os.MkdirAll(filepath.Dir(recordedHistories), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recordedHistories, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
