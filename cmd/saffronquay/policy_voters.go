package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/server"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// proposes has a command propose something, with the flags that say to whom and for how long.
func (c *cli) proposes(p *proposal, cmd *cobra.Command, of func(words []string) (turn func(*wire.Propose), made string, err error)) *cobra.Command {
	cmd.Flags().StringSliceVar(&p.at, "at", nil, "where voters agree on the policy (default: what the file says)")
	cmd.Flags().DurationVar(&p.wait, "wait", 30*time.Second, "how long to wait for the end")
	cmd.RunE = func(_ *cobra.Command, words []string) (err error) {
		if p.turn, p.what, err = of(words); err != nil {
			return err
		}
		return c.propose(*p, nil)
	}
	return cmd
}

// voting shows who votes, and changes it.
func (c *cli) voting() *cobra.Command {
	parent := &cobra.Command{
		Use: "voters", Short: "Show who votes on the policy, and change it one at a time", Args: cobra.NoArgs,
		Long: "A change of voters takes hold once the new voter has the whole log and a majority of the old voters and of the new ones agrees. Exit codes as of\n" +
			"propose: 0 made, 1 refused, 3 in doubt.",
		Example: "  saffronquay policy voters --door 127.0.0.1:9401\n  saffronquay policy voters replace cordoba-2 cordoba-4 --file deploy/rollout.json",
		RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("policy")
			if err != nil {
				return err
			}
			lost := map[string]bool{}
			var all []map[string]string
			here := ""
			for _, of := range parseAdminLines(text) {
				switch of["kind"] {
				case "member":
					all = append(all, of)
				case "region":
					here = of["name"]
				}
				lost[of["name"]] = lost[of["name"]] || of["lost_disk"] == "true"
			}
			for _, of := range all {
				of["lost_disk"] = fmt.Sprint(lost[of["name"]])
			}
			return c.print(all, func(w io.Writer) {
				for _, of := range all {
					word := "follows"
					switch {
					case of["lost_disk"] == "true":
						word = "has no vote: it came back without its disk; replace it by itself"
					case of["voter"] == "true":
						word = "votes"
					case of["region"] != here: // who votes there is not known here
						word = "is elsewhere"
					}
					if here != "" {
						word += ", region " + of["region"]
					}
					if of["global"] == "true" {
						word += ", votes in the global agreement"
					}
					fmt.Fprintf(w, "%s at %s %s\n", of["name"], of["address"], word)
				}
			})
		},
	}
	// change is a change of who votes: in one region's agreement, or in the one that decides versions.
	change := func(cmd *cobra.Command, of func(words []string) (add, remove, made string)) *cobra.Command {
		p := &proposal{}
		cmd.Flags().StringVar(&p.region, "region", "", "whose voters, where there are regions (default: the voters of the global agreement)")
		return c.proposes(p, cmd, func(w []string) (func(*wire.Propose), string, error) {
			add, remove, made := of(w)
			if p.region != "" {
				made += " in region " + p.region
			}
			return func(x *wire.Propose) { x.VoterAdd, x.VoterRemove, x.Region = add, remove, p.region }, made, nil
		})
	}
	parent.AddCommand(change(&cobra.Command{
		Use: "add NAME", Short: "Have a gatherer of the roster vote", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy voters add cordoba-4 --file deploy/rollout.json",
	}, func(w []string) (add, remove, made string) {
		return w[0], "", w[0] + " votes"
	}), change(&cobra.Command{
		Use: "remove NAME", Short: "Take a vote, where more than three vote", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy voters remove cordoba-4 --file deploy/rollout.json",
	}, func(w []string) (add, remove, made string) {
		return "", w[0], w[0] + " votes no more"
	}), change(&cobra.Command{
		Use: "replace OLD [NEW]", Short: "Have one vote in the place of another, or of itself where it lost its disk", Args: cobra.RangeArgs(1, 2),
		Example: "  saffronquay policy voters replace cordoba-2 --file deploy/rollout.json",
	}, func(w []string) (add, remove, made string) {
		return w[len(w)-1], w[0], w[len(w)-1] + " votes in the place of " + w[0]
	}))
	return parent
}

// rostering changes who may have a lease.
func (c *cli) rostering() *cobra.Command {
	parent := &cobra.Command{
		Use: "roster", Short: "Change who takes part: only who is on the roster gets a lease",
		Example: "  saffronquay policy roster add cordoba-4 127.0.0.1:9480 --file deploy/rollout.json",
	}
	var gone bool
	var region string
	remove := &cobra.Command{
		Use: "remove NAME", Short: "Take a gatherer that does not vote off the roster", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy roster remove cordoba-4 --file deploy/rollout.json",
	}
	remove.Flags().BoolVar(&gone, "gone", false, "it surely does not run any more; wanted where the version in force keeps")
	add := &cobra.Command{
		Use: "add NAME HOST:PORT", Short: "Put a gatherer on the roster, or give it another address", Args: cobra.ExactArgs(2),
		Example: "  saffronquay policy roster add cordoba-4 127.0.0.1:9480 --file deploy/rollout.json\n" +
			"  saffronquay policy roster add rosario-4 127.0.0.1:9580 --region este --file deploy/regions.json",
	}
	add.Flags().StringVar(&region, "region", "", "where it is, where there are regions; wanted of a new one")
	parent.AddCommand(c.proposes(&proposal{}, add, func(w []string) (func(*wire.Propose), string, error) {
		if _, err := netip.ParseAddrPort(w[1]); err != nil {
			return nil, "", fmt.Errorf("want an address and a port: %w", err)
		}
		return func(x *wire.Propose) { x.Add = []*wire.Member{{Name: w[0], Address: w[1], Region: region}} }, w[0] + " is on the roster", nil
	}), c.proposes(&proposal{}, remove, func(w []string) (func(*wire.Propose), string, error) {
		return func(x *wire.Propose) { x.Remove, x.Gone = []string{w[0]}, gone }, w[0] + " is off the roster", nil
	}))
	return parent
}

// recovering makes a fleet anew where the majority of its voters is lost for good.
func (c *cli) recovering() *cobra.Command {
	var force bool
	cmd := &cobra.Command{
		Use: "recover", Short: "Make a fleet anew of one voter's store, where the majority is lost for good", Args: cobra.NoArgs,
		Long: "Run it where one voter that is left has its store, while no gatherer of the fleet runs there. Without --force-new-fleet it only tells what that\n" +
			"store knows and what would be given up. With it that gatherer votes alone and the others on the roster follow. What only the lost voters agreed\n" +
			"on is gone, and none of them may be started again with its store.",
		Example: "  saffronquay policy recover --file deploy/rollout.json\n  saffronquay policy recover --file deploy/rollout.json --force-new-fleet",
		RunE: func(*cobra.Command, []string) error {
			text, err := c.readFile(c.file, "the operator's file with --file")
			if err != nil {
				return err
			}
			op, err := config.ParseOperator(text)
			if err != nil {
				return failed(err)
			}
			if op.Rollout == nil {
				return failed(errors.New("the file sets up no rollout"))
			}
			g, err := server.ForceNewFleet(op, force, slog.New(slog.DiscardHandler))
			if err != nil {
				return failed(err)
			}
			return c.print(map[string]any{"made": force, "version": g.Version, "term": g.Term, "index": g.Index, "uncertain": g.Uncertain, "open": g.Open, "voters": g.Voters},
				func(w io.Writer) {
					fmt.Fprintf(w, "this store knows the log up to term %d, index %d: of several take the one with the highest term, then index\n", g.Term, g.Index)
					fmt.Fprintf(w, "%d entries may never have been agreed on, and count from then on\n", g.Uncertain)
					if g.Open != 0 {
						fmt.Fprintf(w, "the proposal of version %d is given up\n", g.Open)
					}
					fmt.Fprintf(w, "no vote any more: %s\n", strings.Join(g.Voters, ", "))
					if force {
						fmt.Fprintf(w, "made: %s votes alone, and version %d is in force\n", op.Name, g.Version)
					} else {
						fmt.Fprintf(w, "nothing is changed: with --force-new-fleet %s votes alone, under version %d\n", op.Name, g.Version)
					}
				})
		},
	}
	cmd.Flags().BoolVar(&force, "force-new-fleet", false, "do it")
	return cmd
}
