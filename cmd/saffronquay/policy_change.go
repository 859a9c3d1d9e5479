package main

import (
	"context"
	"fmt"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/rollout/wire"
	"strconv"
	"time"

	"github.com/spf13/cobra"
)

const (
	// unknownVersion, as the base of a proposal, stands for the version in force, which is then
	// read from the admin endpoint.
	unknownVersion = -1
	// policyWait is the default of --wait: how long commands that change the policy wait for the
	// decision.
	policyWait = 10 * time.Second
	// groupWait is the same for changes of voters and roster, where a new voter first has to
	// receive the complete log.
	groupWait = 30 * time.Second
)

// proposal is a proposed change, as described by the flags and arguments of a command.
type proposal struct {
	at     []string      // addresses of voters; empty: those in the file
	base   int64         // version that the proposal replaces, or unknownVersion
	wait   time.Duration // maximum wait for the decision
	dry    bool          // validate only
	abort  bool          // abort the open proposal of version base
	keep   bool          // gatherers without a lease continue to serve under the version
	region string        // send to the voters of this region; empty: to all voters or, with regions, to the global voters
	// change adds a change of voters or roster to the request. It is nil for a version.
	change func(*wire.Propose)
	// done describes a completed change of voters or roster. It is empty for a version.
	done string
}

// addFlags defines the flags common to all proposing commands.
func (p *proposal) addFlags(cmd *cobra.Command, wait time.Duration) {
	cmd.Flags().StringSliceVar(&p.at, "at", nil, "host:port of voters' policy listeners (default: from the file)")
	cmd.Flags().DurationVar(&p.wait, "wait", wait, "maximum wait for the outcome")
}

// addDryRunFlag defines the flag of the commands that can have a version validated only.
func (p *proposal) addDryRunFlag(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&p.dry, "dry-run", false, "have all gatherers validate the version, without putting it in force")
}

func (c *cli) policyProposeCommand() *cobra.Command {
	var p proposal
	cmd := &cobra.Command{
		Use: "propose FILE", Short: "Propose a policy, and wait for the outcome", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy propose new.json --door 127.0.0.1:9401 --file deploy/rollout.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := c.readFile(args[0], "the policy")
			if err != nil {
				return err
			}
			return c.propose(cmd.Context(), p, text)
		},
	}
	p.addFlags(cmd, policyWait)
	p.addDryRunFlag(cmd)
	cmd.Flags().BoolVar(&p.keep, "keep", false, "gatherers without a lease continue to serve under this version; it can't be replaced while a gatherer is down")
	cmd.Flags().Int64Var(&p.base, "base", unknownVersion, "version that the proposal replaces (default: the one in force, from the admin endpoint)")
	return cmd
}

func (c *cli) policyAdoptCommand() *cobra.Command {
	p := proposal{base: 0} // the first version replaces no other
	cmd := &cobra.Command{
		Use: "adopt FILE", Short: "Propose the policy of an operator's file as the first version", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy adopt deploy/rollout.json --file deploy/rollout.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := c.readFile(args[0], "the operator's file")
			if err != nil {
				return err
			}
			text, err := config.ExtractPolicy(file)
			if err != nil {
				return failed(err)
			}
			return c.propose(cmd.Context(), p, text)
		},
	}
	p.addFlags(cmd, policyWait)
	p.addDryRunFlag(cmd)
	return cmd
}

func (c *cli) policyRevertCommand() *cobra.Command {
	p := proposal{base: unknownVersion}
	cmd := &cobra.Command{
		Use: "revert", Short: "Propose the previous version again, read from a voter's admin endpoint", Args: cobra.NoArgs,
		Example: "  saffronquay policy revert --door 127.0.0.1:9401 --file deploy/rollout.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := c.previousPolicy(cmd.Context())
			if err != nil {
				return err
			}
			return c.propose(cmd.Context(), p, text)
		},
	}
	p.addFlags(cmd, policyWait)
	return cmd
}

func (c *cli) policyAbortCommand() *cobra.Command {
	p := proposal{abort: true}
	cmd := &cobra.Command{
		Use: "abort NUMBER", Short: "Abort the open proposal, unless queries are already held for it", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy abort 5 --file deploy/rollout.json",
		RunE:    func(cmd *cobra.Command, args []string) error { return c.runPolicyAbort(cmd.Context(), p, args[0]) },
	}
	p.addFlags(cmd, policyWait)
	return cmd
}

func (c *cli) runPolicyAbort(ctx context.Context, p proposal, version string) error {
	number, err := strconv.ParseInt(version, 10, 64)
	if err != nil || number < 1 {
		return fmt.Errorf("invalid version %q: want a number of 1 or more", version)
	}
	p.base = number
	return c.propose(ctx, p, nil)
}
