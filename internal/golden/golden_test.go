package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// writing tells whether the golden files are written instead of compared.
func writing() bool { return os.Getenv("SAFFRONQUAY_GOLDEN") == "write" }

// compare compares a text, line by line, with a golden file below testdata.
func compare(t *testing.T, name, got string) {
	t.Helper()
	is := is.New(t)
	path := filepath.Join("testdata", name)
	if writing() {
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	if string(want) == got {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for _, line := range missing(wantLines, gotLines) {
		t.Errorf("%s: no longer there: %s", name, line)
	}
	for _, line := range missing(gotLines, wantLines) {
		t.Errorf("%s: not in the golden file: %s", name, line)
	}
	t.Errorf("%s differs", name)
}

// missing are the lines of a that b lacks.
func missing(a, b []string) (lines []string) {
	known := map[string]int{}
	for _, line := range b {
		known[line]++
	}
	for _, line := range a {
		if known[line]--; known[line] < 0 {
			lines = append(lines, line)
		}
	}
	return lines
}

// text is a message in one line that stays the same from run to run.
func text(t *testing.T, m proto.Message) string {
	t.Helper()
	is := is.New(t)
	loose, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	is.NoErr(err)
	var tight bytes.Buffer
	is.NoErr(json.Compact(&tight, loose)) // package protojson varies the spaces
	return tight.String()
}

// dataFolder returns a copy of a committed folder; where the golden files are written, the folder itself, empty.
func dataFolder(t *testing.T, name string) string {
	t.Helper()
	is := is.New(t)
	path := filepath.Join("testdata", name)
	if writing() {
		is.NoErr(os.RemoveAll(path))
		is.NoErr(os.MkdirAll(path, 0o755))
		return path
	}
	return copied(t, path)
}

// copied returns a copy of a folder that the test may write to.
func copied(t *testing.T, path string) string {
	t.Helper()
	is := is.New(t)
	_, err := os.Stat(path)
	is.NoErr(err)
	folder := t.TempDir()
	is.NoErr(os.CopyFS(folder, os.DirFS(path)))
	return folder
}
