package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"saffronquay/internal/scale/events"
	"time"

	"github.com/spf13/cobra"

	scripts "saffronquay/internal/testing/faults"
)

// warmUpTime is the time from the start of a fleet to the first policy change.
const warmUpTime = 6 * time.Second

// scaleEvents returns the command that simulates policy changes and faults of a two-region fleet in
// virtual time.
func (c *cli) scaleEvents() *cobra.Command {
	var cfg events.Config
	var script string
	var every time.Duration
	cmd := &cobra.Command{
		Use: "events", Short: "Simulate, in virtual time, the traffic of policy agreement in a two-region fleet", Args: cobra.NoArgs,
		Long: "Simulates the agreement on the policy, its leases and the budget shares in virtual time, over two regions of three zones each with five voters, three\n" +
			"of them in the first region, and prints the bytes of the peak second, the outcome of each change and the share of queries held or refused. --script\n" +
			"names a file of faults in the form of internal/testing/faults. It opens no sockets. Processor time, bandwidth and network headers are not modeled.",
		Example: "  saffronquay scale events --gatherers 600 --text 10000 --every 3s --length 60s",
		RunE: func(*cobra.Command, []string) error {
			n := cfg.Gatherers
			if n < 12 || n > 1200 || cfg.Length < 10*time.Second || cfg.Length > time.Hour || cfg.RegionDelay < 0 || cfg.Text < 0 || cfg.Teams < 0 || every < 0 {
				return errors.New("events flags out of range: want 12 to 1200 gatherers, --length 10s to 1h, and --apart, --text, --teams and --every 0 or more")
			}
			if script != "" {
				text, err := os.ReadFile(script)
				if err != nil {
					return failed(err)
				}
				if cfg.Script, err = scripts.Parse(string(text), n); err != nil {
					return failed(fmt.Errorf("%s: %w", script, err))
				}
			}
			z := n / 6
			cfg.Voters = []int{0, z, 2 * z, n / 2, n/2 + z}
			for at := warmUpTime; every > 0 && at < cfg.Length-3*time.Second; at += every {
				cfg.Changes = append(cfg.Changes, at)
			}
			res, err := events.Run(cfg)
			if err != nil {
				return failed(err)
			}
			return c.print(res, func(w io.Writer) { printEvents(w, res) })
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the run")
	f.IntVar(&cfg.Gatherers, "gatherers", 600, "number of gatherers, half of them in each region")
	f.DurationVar(&cfg.RegionDelay, "apart", 30*time.Millisecond, "minimum one-way delay between the regions; the maximum is twice that")
	f.DurationVar(&cfg.Length, "length", 30*time.Second, "length of the run, in virtual time")
	f.DurationVar(&every, "every", 3*time.Second, "interval between policy changes, from 6 s on; 0: no changes")
	f.IntVar(&cfg.Text, "text", 10_000, "size of a policy in bytes")
	f.IntVar(&cfg.Teams, "teams", 0, "number of teams that are busy at all gatherers; 0: budgets are not divided")
	f.BoolVar(&cfg.Keep, "keep", false, "gatherers without a lease continue to serve under each version")
	f.StringVar(&script, "script", "", "path of a file of faults")
	return cmd
}

func printEvents(w io.Writer, r events.Result) {
	p := events.Peak(r.Seconds)
	fmt.Fprintf(w, "peak second: messages %d, follower mean %d and at most %d bytes, leader %d, other voter %d\n", p.Messages, p.FollowerMean, p.Follower, p.Leader, p.Voter)
	for _, x := range r.Changes {
		how := fmt.Sprintf("in force, everywhere after %s", x.All)
		if !x.InForce {
			how = "not in force: " + x.Reason
		}
		fmt.Fprintf(w, "change at %s: %s; reported to the proposer after %s\n", x.At, how, x.Told)
	}
	var held, doubt, lapse, n float64
	for _, l := range r.Looks {
		if l.At >= warmUpTime {
			held, doubt, lapse, n = held+l.Held, doubt+l.Doubt, lapse+l.Lapse, n+1
		}
	}
	fmt.Fprintf(w, "queries from the first change on, by time: held %.2f%%, refused in doubt %.2f%%, refused without a lease %.2f%%\n", 100*held/n, 100*doubt/n, 100*lapse/n)
}
