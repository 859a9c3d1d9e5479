//go:build review_5

// Package review5 runs a case of the second review, which fails until its fault is mended.
package review5

import (
	"errors"
	"os/exec"
	"testing"
)

// TestReview2_SurplusRejection runs run.sh, which needs the build of deploy/system.toml and review/build-2.sh.
func TestReview2_SurplusRejection(t *testing.T) {
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
