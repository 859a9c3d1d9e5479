package main

import (
	"context"
	"fmt"
	"io"
	"saffronquay/internal/cluster/rollout/wire"
	"strconv"

	"github.com/spf13/cobra"
)

// groupChange is a change of voters or roster, as specified by a command's arguments.
type groupChange struct {
	apply func(*wire.Propose) // adds the change to the request
	done  string              // printed once the change is in force
}

// withProposal completes a command that proposes a change of voters or roster: it adds the flags of
// a proposal, and a RunE that proposes the change that parse returns for the arguments.
func (c *cli) withProposal(p *proposal, cmd *cobra.Command, parse func(args []string) (groupChange, error)) *cobra.Command {
	p.addFlags(cmd, groupWait)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		change, err := parse(args)
		if err != nil {
			return err
		}
		p.change, p.done = change.apply, change.done
		return c.propose(cmd.Context(), *p, nil)
	}
	return cmd
}

// policyVotersCommand returns the command that shows the voters, with subcommands that change them.
func (c *cli) policyVotersCommand() *cobra.Command {
	parent := &cobra.Command{
		Use: "voters", Short: "Show the voters on the policy, and change them one at a time", Args: cobra.NoArgs,
		Long: "A change of voters takes effect once the new voter has the complete log and majorities of both the old and the new voters have agreed. Exit codes\n" +
			"as for propose: 0 made, 1 rejected, 3 in doubt.",
		Example: "  saffronquay policy voters --door 127.0.0.1:9401\n  saffronquay policy voters replace cordoba-2 cordoba-4 --file deploy/rollout.json",
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.runPolicyVoters(cmd.Context()) },
	}
	parent.AddCommand(c.addVoterCommand(), c.removeVoterCommand(), c.replaceVoterCommand())
	return parent
}

func (c *cli) runPolicyVoters(ctx context.Context) error {
	text, err := c.callAdmin(ctx, "policy")
	if err != nil {
		return err
	}
	members, region := parseVoters(text)
	return c.print(members, func(w io.Writer) {
		for _, member := range members {
			fmt.Fprintf(w, "%s at %s %s\n", member["name"], member["address"], describeVoter(member, region))
		}
	})
}

// parseVoters returns the members of the fleet in a response of the admin endpoint, each with the
// key lost_disk, and the region of the gatherer that responded, or "" if there are no regions.
func parseVoters(text string) (members []map[string]string, region string) {
	lostDisk := map[string]bool{}
	for _, line := range parseAdminLines(text) {
		switch line["kind"] {
		case "member":
			members = append(members, line)
		case "region":
			region = line["name"]
		}
		name := line["name"]
		lostDisk[name] = lostDisk[name] || line["lost_disk"] == "true"
	}
	for _, member := range members {
		member["lost_disk"] = strconv.FormatBool(lostDisk[member["name"]])
	}
	return members, region
}

// describeVoter returns whether a member votes, as far as a gatherer in region knows: it does not
// know the voters of other regions.
func describeVoter(member map[string]string, region string) string {
	description := "follows"
	switch {
	case member["lost_disk"] == "true":
		description = "has no vote: it restarted without its disk; replace it with itself"
	case member["voter"] == "true":
		description = "votes"
	case member["region"] != region:
		description = "is elsewhere"
	}
	if region != "" {
		description += ", region " + member["region"]
	}
	if member["global"] == "true" {
		description += ", votes in the global agreement"
	}
	return description
}

// voterChange names the gatherer that becomes a voter and the one that ceases to be one. Either may
// be "".
type voterChange struct {
	add, remove string
	done        string // printed once the change is in force
}

// withVoterChange completes a command that changes the voters of one region, or those of the
// agreement that decides on versions.
func (c *cli) withVoterChange(cmd *cobra.Command, parse func(args []string) voterChange) *cobra.Command {
	p := &proposal{}
	cmd.Flags().StringVar(&p.region, "region", "", "region whose voters are changed (default: the voters of the global agreement)")
	return c.withProposal(p, cmd, func(args []string) (groupChange, error) {
		change := parse(args)
		if p.region != "" {
			change.done += " in region " + p.region
		}
		apply := func(x *wire.Propose) { x.VoterAdd, x.VoterRemove, x.Region = change.add, change.remove, p.region }
		return groupChange{apply: apply, done: change.done}, nil
	})
}

func (c *cli) addVoterCommand() *cobra.Command {
	return c.withVoterChange(&cobra.Command{
		Use: "add NAME", Short: "Make a gatherer on the roster a voter", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy voters add cordoba-4 --file deploy/rollout.json",
	}, func(args []string) voterChange {
		return voterChange{add: args[0], done: args[0] + " votes"}
	})
}

func (c *cli) removeVoterCommand() *cobra.Command {
	return c.withVoterChange(&cobra.Command{
		Use: "remove NAME", Short: "Make a voter a non-voter; more than three must vote before", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy voters remove cordoba-4 --file deploy/rollout.json",
	}, func(args []string) voterChange {
		return voterChange{remove: args[0], done: args[0] + " no longer votes"}
	})
}

func (c *cli) replaceVoterCommand() *cobra.Command {
	return c.withVoterChange(&cobra.Command{
		Use: "replace OLD [NEW]", Short: "Replace a voter with another gatherer, or with itself after the loss of its disk", Args: cobra.RangeArgs(1, 2),
		Example: "  saffronquay policy voters replace cordoba-2 --file deploy/rollout.json",
	}, func(args []string) voterChange {
		previous, next := args[0], args[len(args)-1]
		return voterChange{add: next, remove: previous, done: next + " votes in the place of " + previous}
	})
}
