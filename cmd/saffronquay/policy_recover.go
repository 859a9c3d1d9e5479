package main

import (
	"fmt"
	"io"
	"log/slog"
	"saffronquay/internal/broker/server"
	"strings"

	"github.com/spf13/cobra"
)

// policyRecoverCommand makes a fleet anew where the majority of its voters is lost for good.
func (c *cli) policyRecoverCommand() *cobra.Command {
	var force bool
	cmd := &cobra.Command{
		Use: "recover", Short: "Make a fleet anew of one voter's store, where the majority is lost for good", Args: cobra.NoArgs,
		Long: "Run it where one voter that is left has its store, while no gatherer of the fleet runs there. Without --force-new-fleet it only tells what that\n" +
			"store knows and what would be given up. With it that gatherer votes alone and the others on the roster follow. What only the lost voters agreed\n" +
			"on is gone, and none of them may be started again with its store.",
		Example: "  saffronquay policy recover --file deploy/rollout.json\n  saffronquay policy recover --file deploy/rollout.json --force-new-fleet",
		RunE:    func(*cobra.Command, []string) error { return c.runPolicyRecover(force) },
	}
	cmd.Flags().BoolVar(&force, "force-new-fleet", false, "do it")
	return cmd
}

// runPolicyRecover prints what the store that the operator's file names knows. Only with force it changes the store.
func (c *cli) runPolicyRecover(force bool) error {
	operator, err := c.readRolloutOperator("the operator's file with --file")
	if err != nil {
		return err
	}
	g, err := server.ForceNewFleet(operator, force, slog.New(slog.DiscardHandler))
	if err != nil {
		return failed(err)
	}
	result := map[string]any{
		"made": force, "version": g.Version, "term": g.Term, "index": g.Index, "uncertain": g.Uncertain, "open": g.Open, "voters": g.Voters,
	}
	return c.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "this store knows the log up to term %d, index %d: of several take the one with the highest term, then index\n", g.Term, g.Index)
		fmt.Fprintf(w, "%d entries may never have been agreed on, and count from then on\n", g.Uncertain)
		if g.Open != 0 {
			fmt.Fprintf(w, "the proposal of version %d is given up\n", g.Open)
		}
		fmt.Fprintf(w, "no vote any more: %s\n", strings.Join(g.Voters, ", "))
		if force {
			fmt.Fprintf(w, "made: %s votes alone, and version %d is in force\n", operator.Name, g.Version)
		} else {
			fmt.Fprintf(w, "nothing is changed: with --force-new-fleet %s votes alone, under version %d\n", operator.Name, g.Version)
		}
	})
}
