package main

import (
	"fmt"
	"io"
	"log/slog"
	"saffronquay/internal/broker/server"
	"strings"

	"github.com/spf13/cobra"
)

// policyRecoverCommand returns the command that bootstraps a new fleet from one voter's store after
// a permanent loss of quorum.
func (c *cli) policyRecoverCommand() *cobra.Command {
	var force bool
	cmd := &cobra.Command{
		Use: "recover", Short: "Bootstrap a new fleet from one voter's store after a permanent loss of quorum", Args: cobra.NoArgs,
		Long: "Run it on the machine with the store of a surviving voter, while no gatherer of the fleet runs there. Without --force-new-fleet it only prints the\n" +
			"state of the store and what would be lost. With it that gatherer becomes the only voter and the others on the roster follow it. Entries that only\n" +
			"the lost voters agreed on are lost, and none of those voters may be started again with its old store.",
		Example: "  saffronquay policy recover --file deploy/rollout.json\n  saffronquay policy recover --file deploy/rollout.json --force-new-fleet",
		RunE:    func(*cobra.Command, []string) error { return c.runPolicyRecover(force) },
	}
	cmd.Flags().BoolVar(&force, "force-new-fleet", false, "write the new fleet to the store")
	return cmd
}

// runPolicyRecover prints the state of the store named by the operator's file. It changes the store
// only if force is set.
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
		fmt.Fprintf(w, "the log in this store ends at term %d, index %d: of several stores use the one with the highest term, then the highest index\n", g.Term, g.Index)
		fmt.Fprintf(w, "%d entries may not have been committed, and become committed\n", g.Uncertain)
		if g.Open != 0 {
			fmt.Fprintf(w, "the proposal of version %d is aborted\n", g.Open)
		}
		fmt.Fprintf(w, "no vote any more: %s\n", strings.Join(g.Voters, ", "))
		if force {
			fmt.Fprintf(w, "made: %s votes alone, and version %d is in force\n", operator.Name, g.Version)
		} else {
			fmt.Fprintf(w, "nothing changed: with --force-new-fleet %s would vote alone, under version %d\n", operator.Name, g.Version)
		}
	})
}
