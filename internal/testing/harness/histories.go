package harness

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
)

// recordedHistories returns the file in the tested package with a line "name digest" for each history:
// testdata/histories.txt, or the file of this processor's architecture, histories_arm64.txt for example, if the
// package has one. Histories with values of math.Exp or math.Exp2 need one, because these are written in the
// assembly of each processor and round differently.
func recordedHistories() string {
	ofProcessor := filepath.Join("testdata", "histories_"+runtime.GOARCH+".txt")
	if _, err := os.Stat(ofProcessor); err == nil {
		return ofProcessor
	}
	return filepath.Join("testdata", "histories.txt")
}

// CheckHistories compares the SHA-256 digest of each history, by name, with the digests recorded in
// the file of the tested package that recordedHistories names. Runs of white space count as one space, because the
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
	file := recordedHistories()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]string{}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) != 2 {
			t.Fatalf("%s: want a history name and its digest, got %q", file, line)
		}
		recorded[words[0]] = words[1]
	}
	return recorded
}

// recordHistories writes the digests to the file that recordedHistories names, sorted by name.
func recordHistories(t T, digests map[string]string) {
	t.Helper()
	var text bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		fmt.Fprintln(&text, name, digests[name])
	}
	file := recordedHistories()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
