package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

// policyCommand returns the parent of the commands that show and change the version of the policy.
func (c *cli) policyCommand() *cobra.Command {
	parent := &cobra.Command{
		Use: "policy", Short: "Show the versions of the policy, and change them atomically across the fleet",
		Long: "A policy (the keys settings, tenants and contracts of the operator's file) takes effect at all gatherers or at none; with regions, while one is\n" +
			"partitioned, in the others. Exit codes of propose, adopt and revert: 0 in force, with regions in all of them, 1 rejected, 3 in doubt: the outcome\n" +
			"is not known yet, see 'policy status', 4 in force, but in some regions only.",
		Example: "  saffronquay policy status --door 127.0.0.1:9401\n  saffronquay policy propose new.json --door 127.0.0.1:9401 --file deploy/rollout.json",
	}
	parent.AddCommand(
		c.policyStatusCommand(), c.policyShowCommand(), c.policyHistoryCommand(), c.policyDiffCommand(),
		c.policyProposeCommand(), c.policyAdoptCommand(), c.policyRevertCommand(), c.policyAbortCommand(),
		c.policyVotersCommand(), c.policyRosterCommand(), c.policyRecoverCommand(),
	)
	return parent
}

func (c *cli) policyStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the version in force, recent decisions and, at the leader, the state of each gatherer", Args: cobra.NoArgs,
		Example: "  saffronquay policy status --door 127.0.0.1:9401",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.callAdmin(cmd.Context(), "policy")
			if err != nil {
				return err
			}
			return c.print(parseAdminLines(text), plainText(text))
		},
	}
}

func (c *cli) policyShowCommand() *cobra.Command {
	return &cobra.Command{
		Use: "show", Short: "Print the policy in force", Args: cobra.NoArgs, Example: "  saffronquay policy show --door 127.0.0.1:9401",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.callAdmin(cmd.Context(), "policy text")
			if err != nil {
				return err
			}
			_, err = io.WriteString(c.out, text)
			return err
		},
	}
}

func (c *cli) policyHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "Show recent decisions, read from a voter's admin endpoint", Args: cobra.NoArgs,
		Example: "  saffronquay policy history --door 127.0.0.1:9401",
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.runPolicyHistory(cmd.Context()) },
	}
}

func (c *cli) runPolicyHistory(ctx context.Context) error {
	text, err := c.callAdmin(ctx, "policy")
	if err != nil {
		return err
	}
	var decisions []map[string]string
	for _, line := range parseAdminLines(text) {
		if line["kind"] == "decision" {
			decisions = append(decisions, line)
		}
	}
	return c.print(decisions, func(w io.Writer) {
		for _, decision := range decisions {
			printDecision(w, decision)
		}
	})
}

// printDecision writes one decision as a line. A decision without the key "what" is about a version
// of the policy, any other about the voters or the roster.
func printDecision(w io.Writer, decision map[string]string) {
	result := "in force"
	if decision["in_force"] != "true" {
		result = "not in force: " + decision["reason"]
	}
	what := decision["what"]
	if what == "" {
		what = "version " + decision["number"]
	} else if result == "in force" {
		result = "made"
	}
	fmt.Fprintf(w, "%s by %s: %s\n", what, decision["by"], result)
}

// previousPolicy returns the policy that preceded the one in force. Only voters keep it.
func (c *cli) previousPolicy(ctx context.Context) ([]byte, error) {
	text, err := c.callAdmin(ctx, "policy previous")
	if err != nil {
		return nil, err
	}
	text = strings.TrimSpace(text)
	if text == "" {
		return nil, failed(errors.New("no previous version: none was in force, or this gatherer is not a voter; set --door to a voter's admin endpoint"))
	}
	return []byte(text), nil
}

// versionInForce returns the number of the version in force at the gatherer, or unknownVersion if
// its response names none.
func (c *cli) versionInForce(ctx context.Context) (int64, error) {
	text, err := c.callAdmin(ctx, "policy")
	if err != nil {
		return 0, err
	}
	number := int64(unknownVersion)
	for _, line := range parseAdminLines(text) {
		if line["kind"] != "policy" {
			continue
		}
		if number, err = strconv.ParseInt(line["number"], 10, 64); err != nil {
			return 0, unreachable(err)
		}
	}
	return number, nil
}
