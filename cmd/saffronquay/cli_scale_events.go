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

// eventsFrom is when a fleet has come up and changes begin.
const eventsFrom = 6 * time.Second

// scaleEvents plays what befalls a fleet in two regions in virtual time.
func (c *cli) scaleEvents() *cobra.Command {
	var cfg events.Config
	var script string
	var every time.Duration
	cmd := &cobra.Command{
		Use: "events", Short: "Count, in virtual time, what agreeing on the policy costs a fleet in two regions", Args: cobra.NoArgs,
		Long: "Plays the agreement on the policy, its leases and parts of budgets in virtual time, over two regions of three zones each with five voters, three\n" +
			"of them in the first region, and tells the peak second's bytes, how changes went and how queries stood. --script has faults in the form of\n" +
			"internal/testing/faults. Nothing is opened. It leaves out processor time, bandwidth and the headers of the network.",
		Example: "  saffronquay scale events --gatherers 600 --text 10000 --every 3s --length 60s",
		RunE: func(*cobra.Command, []string) error {
			n := cfg.Gatherers
			if n < 12 || n > 1200 || cfg.Length < 10*time.Second || cfg.Length > time.Hour || cfg.Apart < 0 || cfg.Text < 0 || cfg.Teams < 0 || every < 0 {
				return errors.New("want 12 to 1200 gatherers, a length of 10s to 1h, and nothing below nought")
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
			for at := eventsFrom; every > 0 && at < cfg.Length-3*time.Second; at += every {
				cfg.Changes = append(cfg.Changes, at)
			}
			res, err := events.Run(cfg)
			if err != nil {
				return failed(err)
			}
			return c.print(res, func(w io.Writer) { tellEvents(w, res) })
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&cfg.Seed, "seed", 1, "of the run")
	f.IntVar(&cfg.Gatherers, "gatherers", 600, "gatherers, half of them in each region")
	f.DurationVar(&cfg.Apart, "apart", 30*time.Millisecond, "of a word between regions, one way, and as much again by chance")
	f.DurationVar(&cfg.Length, "length", 30*time.Second, "of the run")
	f.DurationVar(&every, "every", 3*time.Second, "between two changes, from 6 s on; 0: none")
	f.IntVar(&cfg.Text, "text", 10_000, "bytes of a policy")
	f.IntVar(&cfg.Teams, "teams", 0, "teams that are busy at all gatherers; 0: budgets are not divided")
	f.BoolVar(&cfg.Keep, "keep", false, "versions keep: who has no lease goes on")
	f.StringVar(&script, "script", "", "a file of faults")
	return cmd
}

func tellEvents(w io.Writer, r events.Result) {
	p := events.Peak(r.Seconds)
	fmt.Fprintf(w, "peak second: messages %d, follower in the mean %d and at most %d bytes, leader %d, other voter %d\n", p.Messages, p.FollowerMean, p.Follower, p.Leader, p.Voter)
	for _, x := range r.Changes {
		how := fmt.Sprintf("in force, everywhere after %s", x.All)
		if !x.InForce {
			how = "not in force: " + x.Reason
		}
		fmt.Fprintf(w, "change at %s: %s; told after %s\n", x.At, how, x.Told)
	}
	var held, doubt, lapse, n float64
	for _, l := range r.Looks {
		if l.At >= eventsFrom {
			held, doubt, lapse, n = held+l.Held, doubt+l.Doubt, lapse+l.Lapse, n+1
		}
	}
	fmt.Fprintf(w, "queries from the first change on, by time: held %.2f%%, refused in doubt %.2f%%, refused without a lease %.2f%%\n", 100*held/n, 100*doubt/n, 100*lapse/n)
}
