//go:build review_6

// Package review6 runs a case of the second review, which fails until its fault is mended.
package review6

import (
	"errors"
	"os/exec"
	"testing"
)

// TestReview2_RewardRouteAbsent runs run.sh, which needs the build of deploy/system.toml and review/build-2.sh.
func TestReview2_RewardRouteAbsent(t *testing.T) {
	text, err := exec.Command("bash", "run.sh").CombinedOutput()
	if err == nil {
		return
	}
	var ended *exec.ExitError
	if !errors.As(err, &ended) || ended.ExitCode() != 1 {
		t.Fatalf("the case could not run: %v\n%s", err, text)
	}
	t.Errorf("the rule was broken:\n%s", text)
}
