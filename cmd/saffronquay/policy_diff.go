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
		Use: "diff FILE", Short: "Show where a policy differs from the one in force; 1 where it does", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy diff new.json --door 127.0.0.1:9401",
		RunE:    func(cmd *cobra.Command, args []string) error { return c.runPolicyDiff(cmd.Context(), args[0]) },
	}
}

// runPolicyDiff compares the file at path with the policy in force. It ends with exitFailed where they differ.
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
		return failed(fmt.Errorf("%s: %w", path, err))
	}
	if text = strings.TrimSpace(text); text != "" {
		if err := json.Unmarshal([]byte(text), &inForce); err != nil {
			return failed(fmt.Errorf("the one in force: %w", err))
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

// diffValues appends to lines one line for each key in which two JSON values differ, with both values. Arrays of different lengths differ as a
// whole. path is the key of the values themselves, "" for a document.
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

// formatValue returns a value as JSON, and "nothing" for null or a missing one.
func formatValue(value any) string {
	text, err := json.Marshal(value)
	if err != nil || value == nil {
		return "nothing"
	}
	return string(text)
}
