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

// writing reports whether the golden files are written instead of compared.
func writing() bool { return os.Getenv("SAFFRONQUAY_GOLDEN") == "write" }

// compare compares a text, line by line, with a golden file below testdata, or writes the file if
// writing.
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
		t.Errorf("%s: line missing from the output: %s", name, line)
	}
	for _, line := range missing(gotLines, wantLines) {
		t.Errorf("%s: line missing from the golden file: %s", name, line)
	}
	t.Errorf("%s differs", name)
}

// missing returns the lines of a that are not in b.
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

// text returns a message as one line of JSON that is the same in each run.
func text(t *testing.T, m proto.Message) string {
	t.Helper()
	is := is.New(t)
	encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	is.NoErr(err)
	var compact bytes.Buffer
	is.NoErr(json.Compact(&compact, encoded)) // package protojson varies the white space
	return compact.String()
}

// dataFolder returns a copy of a committed folder, or the folder itself, emptied, if the golden
// files are written.
func dataFolder(t *testing.T, name string) string {
	t.Helper()
	is := is.New(t)
	path := filepath.Join("testdata", name)
	if writing() {
		is.NoErr(os.RemoveAll(path))
		is.NoErr(os.MkdirAll(path, 0o755))
		return path
	}
	return copyFolder(t, path)
}

// copyFolder returns the path of a copy of a folder that the test may modify.
func copyFolder(t *testing.T, path string) string {
	t.Helper()
	is := is.New(t)
	_, err := os.Stat(path)
	is.NoErr(err)
	folder := t.TempDir()
	is.NoErr(os.CopyFS(folder, os.DirFS(path)))
	return folder
}
