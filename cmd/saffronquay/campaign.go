package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"saffronquay/internal/testing/soak"
	"time"

	"github.com/spf13/cobra"
)

// campaignCommand plays fleets of processes under load and faults for long.
func (c *cli) campaignCommand() *cobra.Command {
	var cfg soak.Config
	var seeds, shrink int
	cmd := &cobra.Command{
		Use: "campaign", Short: "Play a fleet of processes under load and faults for long, and judge its history", Args: cobra.NoArgs,
		Long: "Starts gatherers that keep a view of their fleet, agree on the policy and divide the contracts, in front of stand-in servers on loopback, with\n" +
			"faults by seed between them: kills, stops, cuts, loss, changes of policy, a rolling restart. Its history and a report as HTML are left in --dir.\n" +
			"Ends with 1 where anything was broken; the last line of each seed is its verdict.",
		Example: "  saffronquay campaign --processes 12 --length 10m --seeds 3 --dir /tmp/campaign",
		RunE: func(*cobra.Command, []string) error {
			if cfg.Processes < 3 || cfg.Processes > 40 || cfg.Voters < 3 || cfg.Voters > 7 || cfg.Voters > cfg.Processes || cfg.Length < 20*time.Second || cfg.Length > 24*time.Hour ||
				cfg.Faults < 0 || seeds < 1 || shrink < 0 {
				return errors.New("want 3 to 40 processes, 3 to 7 of them voters, a length of 20 s to 24 h, and at least one seed")
			}
			var err error
			if cfg.Program, err = os.Executable(); err != nil {
				return failed(err)
			}
			cfg.Say = func(format string, args ...any) { fmt.Fprintf(c.errs, format+"\n", args...) }
			broken := 0
			for range seeds {
				r, err := soak.Run(cfg)
				if err != nil {
					return failed(err)
				}
				smallest := r.Script
				if broken += len(r.Broken); len(r.Broken) > 0 && shrink > 0 {
					quiet := cfg
					quiet.Say = func(string, ...any) {}
					if smallest, err = soak.Shrink(quiet, r.Script, shrink, soak.Run); err != nil {
						return failed(err)
					}
				} else {
					smallest = nil
				}
				path, err := soak.Report(cfg, r, smallest)
				if err != nil {
					return failed(err)
				}
				if err := c.print(map[string]any{"seed": cfg.Seed, "broken": r.Broken, "report": path, "verdict": r.Verdict(cfg)}, func(w io.Writer) {
					for _, b := range r.Broken {
						fmt.Fprintln(w, "broken:", b)
					}
					fmt.Fprintf(w, "report: %s\n%s\n", path, r.Verdict(cfg))
				}); err != nil {
					return err
				}
				cfg.Seed++
			}
			if broken > 0 {
				return &exitError{code: exitFailed}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&cfg.Processes, "processes", 12, "how many gatherers")
	f.IntVar(&cfg.Voters, "voters", 5, "how many of them vote on the policy")
	f.DurationVar(&cfg.Length, "length", 10*time.Minute, "how long each seed is played")
	f.IntVar(&cfg.Faults, "faults", 60, "how many faults befall them, beside a rolling restart")
	f.Uint64Var(&cfg.Seed, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 1, "how many seeds, one after the other")
	f.StringVar(&cfg.Second, "second", "", "another build of the program, which comes in with restarts")
	f.StringVar(&cfg.Dir, "dir", "campaign", "where history and report are left")
	f.IntVar(&shrink, "shrink", 0, "where something is broken, play parts of the script so many times to find a smaller one that still breaks it")
	return cmd
}
