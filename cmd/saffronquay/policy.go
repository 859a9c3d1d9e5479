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

// policyCommand is the parent of the commands that show the versions of the policy and change them.
func (c *cli) policyCommand() *cobra.Command {
	parent := &cobra.Command{
		Use: "policy", Short: "Show the policy's versions, and change them everywhere or nowhere",
		Long: "A policy (the keys settings, tenants and contracts of the operator's file) takes hold at all gatherers or at none; with regions, while one is\n" +
			"cut off, in the others. Exit codes of propose, adopt and revert: 0 in force, with regions in all of them, 1 refused, 3 in doubt: the outcome is\n" +
			"not known yet, and 'policy status' tells it, 4 in force, but in some regions only.",
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
		Use: "status", Short: "Show the version in force, what was decided and, at the leader, how each gatherer stands", Args: cobra.NoArgs,
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
		Use: "show", Short: "Print the document in force", Args: cobra.NoArgs, Example: "  saffronquay policy show --door 127.0.0.1:9401",
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
		Use: "history", Short: "Show what was decided lately, from a voter's door", Args: cobra.NoArgs,
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

// printDecision writes one decision as a line. A decision without a "what" is about a version of the policy, others about voters or the roster.
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

// previousPolicy returns the document before the one in force. Only a voter keeps it.
func (c *cli) previousPolicy(ctx context.Context) ([]byte, error) {
	text, err := c.callAdmin(ctx, "policy previous")
	if err != nil {
		return nil, err
	}
	text = strings.TrimSpace(text)
	if text == "" {
		return nil, failed(errors.New("there is no version before it, or this gatherer does not vote: ask a voter's door"))
	}
	return []byte(text), nil
}

// versionInForce returns the number of the version in force at the gatherer, or unknownVersion where its answer names none.
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
