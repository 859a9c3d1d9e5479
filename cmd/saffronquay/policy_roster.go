package main

import (
	"fmt"
	"net/netip"
	"saffronquay/internal/cluster/rollout/wire"

	"github.com/spf13/cobra"
)

// policyRosterCommand returns the parent of the commands that change which gatherers may be granted
// a lease.
func (c *cli) policyRosterCommand() *cobra.Command {
	parent := &cobra.Command{
		Use: "roster", Short: "Change the roster: only gatherers on the roster are granted a lease",
		Example: "  saffronquay policy roster add cordoba-4 127.0.0.1:9480 --file deploy/rollout.json",
	}
	parent.AddCommand(c.addToRosterCommand(), c.removeFromRosterCommand())
	return parent
}

func (c *cli) addToRosterCommand() *cobra.Command {
	var region string
	cmd := &cobra.Command{
		Use: "add NAME HOST:PORT", Short: "Add a gatherer to the roster, or change its address", Args: cobra.ExactArgs(2),
		Example: "  saffronquay policy roster add cordoba-4 127.0.0.1:9480 --file deploy/rollout.json\n" +
			"  saffronquay policy roster add rosario-4 127.0.0.1:9580 --region este --file deploy/regions.json",
	}
	cmd.Flags().StringVar(&region, "region", "", "region of the gatherer; required for a new one if there are regions")
	return c.withProposal(&proposal{}, cmd, func(args []string) (groupChange, error) {
		name, address := args[0], args[1]
		if _, err := netip.ParseAddrPort(address); err != nil {
			return groupChange{}, fmt.Errorf("invalid address: want HOST:PORT: %w", err)
		}
		apply := func(x *wire.Propose) { x.Add = []*wire.Member{{Name: name, Address: address, Region: region}} }
		return groupChange{apply: apply, done: name + " is on the roster"}, nil
	})
}

func (c *cli) removeFromRosterCommand() *cobra.Command {
	var gone bool
	cmd := &cobra.Command{
		Use: "remove NAME", Short: "Remove a gatherer that does not vote from the roster", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy roster remove cordoba-4 --file deploy/rollout.json",
	}
	cmd.Flags().BoolVar(&gone, "gone", false, "confirm that the gatherer does not run any more; required if the version in force was proposed with --keep")
	return c.withProposal(&proposal{}, cmd, func(args []string) (groupChange, error) {
		apply := func(x *wire.Propose) { x.Remove, x.Gone = []string{args[0]}, gone }
		return groupChange{apply: apply, done: args[0] + " is off the roster"}, nil
	})
}
