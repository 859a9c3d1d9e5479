package main

import (
	"fmt"
	"net/netip"
	"saffronquay/internal/cluster/rollout/wire"

	"github.com/spf13/cobra"
)

// policyRosterCommand is the parent of the commands that change which gatherers may have a lease.
func (c *cli) policyRosterCommand() *cobra.Command {
	parent := &cobra.Command{
		Use: "roster", Short: "Change who takes part: only who is on the roster gets a lease",
		Example: "  saffronquay policy roster add cordoba-4 127.0.0.1:9480 --file deploy/rollout.json",
	}
	parent.AddCommand(c.addToRosterCommand(), c.removeFromRosterCommand())
	return parent
}

func (c *cli) addToRosterCommand() *cobra.Command {
	var region string
	cmd := &cobra.Command{
		Use: "add NAME HOST:PORT", Short: "Put a gatherer on the roster, or give it another address", Args: cobra.ExactArgs(2),
		Example: "  saffronquay policy roster add cordoba-4 127.0.0.1:9480 --file deploy/rollout.json\n" +
			"  saffronquay policy roster add rosario-4 127.0.0.1:9580 --region este --file deploy/regions.json",
	}
	cmd.Flags().StringVar(&region, "region", "", "where it is, where there are regions; wanted of a new one")
	return c.withProposal(&proposal{}, cmd, func(args []string) (groupChange, error) {
		name, address := args[0], args[1]
		if _, err := netip.ParseAddrPort(address); err != nil {
			return groupChange{}, fmt.Errorf("want an address and a port: %w", err)
		}
		apply := func(x *wire.Propose) { x.Add = []*wire.Member{{Name: name, Address: address, Region: region}} }
		return groupChange{apply: apply, done: name + " is on the roster"}, nil
	})
}

func (c *cli) removeFromRosterCommand() *cobra.Command {
	var gone bool
	cmd := &cobra.Command{
		Use: "remove NAME", Short: "Take a gatherer that does not vote off the roster", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy roster remove cordoba-4 --file deploy/rollout.json",
	}
	cmd.Flags().BoolVar(&gone, "gone", false, "it surely does not run any more; wanted where the version in force keeps")
	return c.withProposal(&proposal{}, cmd, func(args []string) (groupChange, error) {
		apply := func(x *wire.Propose) { x.Remove, x.Gone = []string{args[0]}, gone }
		return groupChange{apply: apply, done: args[0] + " is off the roster"}, nil
	})
}
