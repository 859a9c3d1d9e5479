package harness

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// errorRecorder is a T that records errors instead of failing the test.
type errorRecorder struct {
	*testing.T
	errors []string
}

func (r *errorRecorder) Errorf(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// Guards against digests of one processor that are compared with histories of another: the file of this architecture,
// if there is one, takes the place of the common one, and no other does.
func TestCheckHistories_FileOfArchitecture(t *testing.T) {
	const common, other = "histories.txt", "histories_other.txt"
	own := "histories_" + runtime.GOARCH + ".txt"
	right := fmt.Sprintf("%x", sha256.Sum256([]byte("the history")))
	wrong := fmt.Sprintf("%x", sha256.Sum256([]byte("another history")))
	for name, test := range map[string]struct {
		digests map[string]string // by file
		fails   bool
	}{
		"common file agrees":              {digests: map[string]string{common: right}},
		"common file differs":             {digests: map[string]string{common: wrong}, fails: true},
		"own file agrees":                 {digests: map[string]string{common: wrong, own: right}},
		"own file differs":                {digests: map[string]string{common: right, own: wrong}, fails: true},
		"file of another is not read":     {digests: map[string]string{common: right, other: wrong}},
		"file of another does not excuse": {digests: map[string]string{common: wrong, other: right}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Chdir(t.TempDir())
			is.NoErr(os.Mkdir("testdata", 0o755))
			for file, digest := range test.digests {
				is.NoErr(os.WriteFile(filepath.Join("testdata", file), []byte("day "+digest+"\n"), 0o600))
			}
			recorder := &errorRecorder{T: t}
			CheckHistories(recorder, map[string]string{"day": "the  history"})
			is.Equal(len(recorder.errors) > 0, test.fails)
		})
	}
}
