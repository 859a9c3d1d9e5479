package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

func (c *cli) policyDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Show the differences between a policy and the one in force; exits with 1 if there are any", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy diff new.json --door 127.0.0.1:9401",
		RunE:    func(cmd *cobra.Command, args []string) error { return c.runPolicyDiff(cmd.Context(), args[0]) },
	}
}

// runPolicyDiff compares the file at path with the policy in force. It ends with exitFailed if they
// differ.
func (c *cli) runPolicyDiff(ctx context.Context, path string) error {
	file, err := c.readFile(path, "the policy")
	if err != nil {
		return err
	}
	text, err := c.callAdmin(ctx, "policy text")
	if err != nil {
		return err
	}
	var proposed, inForce any
	if err := json.Unmarshal(file, &proposed); err != nil {
		return failed(fmt.Errorf("decode policy %s: %w", path, err))
	}
	if text = strings.TrimSpace(text); text != "" {
		if err := json.Unmarshal([]byte(text), &inForce); err != nil {
			return failed(fmt.Errorf("decode policy in force: %w", err))
		}
	}
	lines := diffValues(nil, "", inForce, proposed)
	err = c.print(lines, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
	})
	if err != nil || len(lines) == 0 {
		return err
	}
	return &exitError{code: exitFailed}
}

// diffValues appends to lines one line with both values for each key in which two JSON values
// differ. Arrays of different lengths are not compared element by element. path is the key of the
// values themselves, or "" for a document.
func diffValues(lines []string, path string, a, b any) []string {
	if x, ok := a.(map[string]any); ok {
		if y, ok := b.(map[string]any); ok {
			keys := maps.Clone(x)
			maps.Copy(keys, y)
			for _, key := range slices.Sorted(maps.Keys(keys)) {
				lines = diffValues(lines, strings.TrimPrefix(path+"."+key, "."), x[key], y[key])
			}
			return lines
		}
	}
	if x, ok := a.([]any); ok {
		if y, ok := b.([]any); ok && len(x) == len(y) {
			for i := range x {
				lines = diffValues(lines, fmt.Sprintf("%s[%d]", path, i), x[i], y[i])
			}
			return lines
		}
	}
	if reflect.DeepEqual(a, b) {
		return lines
	}
	return append(lines, fmt.Sprintf("%s: %s, and %s", path, formatValue(a), formatValue(b)))
}

// formatValue returns a value as JSON, or "nothing" if it is null or missing.
func formatValue(value any) string {
	text, err := json.Marshal(value)
	if err != nil || value == nil {
		return "nothing"
	}
	return string(text)
}
