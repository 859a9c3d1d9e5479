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
	// unknownVersion as the base of a proposal stands for the version in force, which the admin endpoint gives.
	unknownVersion = -1
	// policyWait is how long the commands that change the policy wait for the decision unless --wait says otherwise.
	policyWait = 10 * time.Second
	// groupWait is the same for changes of voters and roster, in which a new voter first gets the whole log.
	groupWait = 30 * time.Second
)

// proposal is a proposed change, as the flags and arguments of a command describe it.
type proposal struct {
	at     []string      // addresses of voters; empty: the file has them
	base   int64         // the version that it replaces, or unknownVersion
	wait   time.Duration // until its decision is known
	dry    bool          // it is only judged
	abort  bool          // it gives up the open proposal of version base
	keep   bool          // gatherers without a lease go on under the version
	region string        // whose voters are sent the proposal; empty: all voters, with regions those of the global agreement
	// change sets what a change of voters or roster adds to the request; nil for a version.
	change func(*wire.Propose)
	// done describes a change of voters or roster once it is made; empty for a version.
	done string
}

// addFlags defines the flags that every proposing command has.
func (p *proposal) addFlags(cmd *cobra.Command, wait time.Duration) {
	cmd.Flags().StringSliceVar(&p.at, "at", nil, "where voters agree on the policy (default: what the file says)")
	cmd.Flags().DurationVar(&p.wait, "wait", wait, "how long to wait for the end")
}

// addDryRunFlag defines the flag of the commands that can have a version judged only.
func (p *proposal) addDryRunFlag(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&p.dry, "dry-run", false, "have it judged by everybody, and put in force nowhere")
}

func (c *cli) policyProposeCommand() *cobra.Command {
	var p proposal
	cmd := &cobra.Command{
		Use: "propose FILE", Short: "Propose a policy, and wait for its end", Args: cobra.ExactArgs(1),
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
	cmd.Flags().BoolVar(&p.keep, "keep", false, "while it is in force, gatherers without a lease go on; then no change is made while one of them is down")
	cmd.Flags().Int64Var(&p.base, "base", unknownVersion, "the version that it replaces (default: the one in force, by the door)")
	return cmd
}

func (c *cli) policyAdoptCommand() *cobra.Command {
	p := proposal{base: 0} // only the first version replaces none
	cmd := &cobra.Command{
		Use: "adopt FILE", Short: "Propose the policy of an operator's file as the first version", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy adopt deploy/rollout.json --file deploy/rollout.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := c.readFile(args[0], "the operator's file")
			if err != nil {
				return err
			}
			text, err := config.PolicyOf(file)
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
		Use: "revert", Short: "Propose the version before the one in force, from a voter's door", Args: cobra.NoArgs,
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
		Use: "abort NUMBER", Short: "Give the open proposal up, as long as no queries are held for it", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy abort 5 --file deploy/rollout.json",
		RunE:    func(cmd *cobra.Command, args []string) error { return c.runPolicyAbort(cmd.Context(), p, args[0]) },
	}
	p.addFlags(cmd, policyWait)
	return cmd
}

func (c *cli) runPolicyAbort(ctx context.Context, p proposal, version string) error {
	number, err := strconv.ParseInt(version, 10, 64)
	if err != nil || number < 1 {
		return fmt.Errorf("want the number of a version, not %q", version)
	}
	p.base = number
	return c.propose(ctx, p, nil)
}
