package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
)

// RaceEnabled is true if the test binary was built with the race detector; Binary then builds the
// program with it too.
var RaceEnabled = func() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}()

// Binary builds the program on its first call and returns the path of the executable; later calls
// return the same path. Main removes the file.
var Binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "saffronquay-lab")
	if err != nil {
		return "", fmt.Errorf("test harness: create build directory: %w", err)
	}
	path := filepath.Join(dir, "saffronquay")
	build := []string{"build", "-o", path}
	if RaceEnabled {
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, "saffronquay/cmd/saffronquay")...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("test harness: build saffronquay/cmd/saffronquay: %w: %s", err, out)
	}
	return path, nil
})

// Main runs the tests of a package that uses Binary, removes the built program and exits. Call it
// from TestMain.
func Main(m interface{ Run() int }) {
	code := m.Run()
	if path, err := Binary(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// Run runs the program with the arguments words until it exits, and returns its combined output and
// exit code.
func Run(t T, words ...string) (out string, code int) {
	t.Helper()
	path, err := Binary()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path, words...) //nolint:noctx // commands exit by themselves
	text, _ := cmd.CombinedOutput()     // a failure shows in the exit code
	return string(text), cmd.ProcessState.ExitCode()
}
