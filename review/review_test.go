//go:build review

// Package review runs the cases of the review as tests: go test -tags review -count=1 ./review. They need the
// build of deploy/system.toml and review/build.sh.
package review

import (
	"errors"
	"os/exec"
	"testing"
)

// The numbers are those of the folders beside this file.
func TestReview_NewRouteWhileStewardFrozen(t *testing.T)  { play(t, "1") }
func TestReview_LateRequestsOnStoppingProxy(t *testing.T) { play(t, "2") }
func TestReview_ResumedStreamAfterCrash(t *testing.T)     { play(t, "3") }

// play runs the script of a case. It fails if the rule was broken.
func play(t *testing.T, number string) {
	t.Helper()
	out, err := exec.Command(number + "/run.sh").CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Errorf("rule broken, see %s/record.txt: %s", number, out)
	default:
		t.Skipf("case not run: %v: %s", err, out)
	}
}
