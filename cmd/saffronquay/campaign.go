package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/soak"
	"time"

	"github.com/spf13/cobra"
)

// campaignFlags are the flags of the command campaign.
type campaignFlags struct {
	soak.Config
	seeds  int // seeds that are played, one after the other
	shrink int // runs at most to find a smaller script that still breaks something; 0: none
}

// campaignCommand plays fleets of processes under load and faults for long.
func (c *cli) campaignCommand() *cobra.Command {
	var flags campaignFlags
	cmd := &cobra.Command{
		Use: "campaign", Short: "Play a fleet of processes under load and faults for long, and judge its history", Args: cobra.NoArgs,
		Long: "Starts gatherers that keep a view of their fleet, agree on the policy and divide the contracts, in front of stand-in servers on loopback, with\n" +
			"faults by seed between them: kills, stops, cuts, loss, changes of policy, a rolling restart. Its history and a report as HTML are left in --dir.\n" +
			"Ends with 1 where anything was broken; the last line of each seed is its verdict.",
		Example: "  saffronquay campaign --processes 12 --length 10m --seeds 3 --dir /tmp/campaign",
		RunE:    func(*cobra.Command, []string) error { return c.runCampaign(flags) },
	}
	f := cmd.Flags()
	f.IntVar(&flags.Processes, "processes", 12, "how many gatherers")
	f.IntVar(&flags.Voters, "voters", 5, "how many of them vote on the policy")
	f.DurationVar(&flags.Length, "length", 10*time.Minute, "how long each seed is played")
	f.IntVar(&flags.Faults, "faults", 60, "how many faults befall them, beside a rolling restart")
	f.Uint64Var(&flags.Seed, "seed", 1, "the first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "how many seeds, one after the other")
	f.StringVar(&flags.Second, "second", "", "another build of the program, which comes in with restarts")
	f.StringVar(&flags.Dir, "dir", "campaign", "where history and report are left")
	f.IntVar(&flags.shrink, "shrink", 0, "where something is broken, play parts of the script so many times to find a smaller one that still breaks it")
	return cmd
}

func (f campaignFlags) validate() error {
	processesOK := f.Processes >= 3 && f.Processes <= 40
	votersOK := f.Voters >= 3 && f.Voters <= 7 && f.Voters <= f.Processes
	lengthOK := f.Length >= 20*time.Second && f.Length <= 24*time.Hour
	if !processesOK || !votersOK || !lengthOK || f.Faults < 0 || f.seeds < 1 || f.shrink < 0 {
		return errors.New("want 3 to 40 processes, 3 to 7 of them voters, a length of 20 s to 24 h, and at least one seed")
	}
	return nil
}

// runCampaign plays all seeds. It ends with exitFailed where anything was broken in one of them.
func (c *cli) runCampaign(flags campaignFlags) error {
	if err := flags.validate(); err != nil {
		return err
	}
	cfg := flags.Config
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		return failed(err)
	}
	cfg.Say = func(format string, args ...any) { fmt.Fprintf(c.errs, format+"\n", args...) }
	broken := 0
	for range flags.seeds {
		n, err := c.playSeed(cfg, flags.shrink)
		if err != nil {
			return err
		}
		broken += n
		cfg.Seed++
	}
	if broken > 0 {
		return &exitError{code: exitFailed}
	}
	return nil
}

// playSeed plays one seed, writes its report and prints what was broken. It returns how much that was.
func (c *cli) playSeed(cfg soak.Config, shrink int) (broken int, err error) {
	result, err := soak.Run(cfg)
	if err != nil {
		return 0, failed(err)
	}
	smallest, err := shrinkScript(cfg, result, shrink)
	if err != nil {
		return 0, failed(err)
	}
	path, err := soak.Report(cfg, result, smallest)
	if err != nil {
		return 0, failed(err)
	}
	verdict := result.Verdict(cfg)
	err = c.print(map[string]any{"seed": cfg.Seed, "broken": result.Broken, "report": path, "verdict": verdict}, func(w io.Writer) {
		for _, violation := range result.Broken {
			fmt.Fprintln(w, "broken:", violation)
		}
		fmt.Fprintf(w, "report: %s\n%s\n", path, verdict)
	})
	return len(result.Broken), err
}

// shrinkScript returns a smaller script that still breaks something, found in at most runs further runs. It returns nil where nothing was broken, or
// with no runs allowed.
func shrinkScript(cfg soak.Config, result soak.Result, runs int) (faults.Script, error) {
	if len(result.Broken) == 0 || runs <= 0 {
		return nil, nil
	}
	cfg.Say = func(string, ...any) {}
	return soak.Shrink(cfg, result.Script, runs, soak.Run)
}
