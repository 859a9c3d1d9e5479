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
	seeds  int // number of seeds, run one after the other
	shrink int // maximum number of runs to find a smaller script that still fails; 0: no shrinking
}

// campaignCommand runs fleets of processes under load and faults for a long time.
func (c *cli) campaignCommand() *cobra.Command {
	var flags campaignFlags
	cmd := &cobra.Command{
		Use: "campaign", Short: "Run a fleet of processes under load and faults for a long time, and check its history", Args: cobra.NoArgs,
		Long: "Starts gatherers that maintain a view of their fleet, agree on the policy and divide the contracts, in front of stand-in servers on loopback, and\n" +
			"injects seeded faults: kills, stops, partitions, message loss, changes of policy, a rolling restart. Writes the history and an HTML report to --dir.\n" +
			"Exits with 1 if any invariant was violated; the last line of each seed is its verdict.",
		Example: "  saffronquay campaign --processes 12 --length 10m --seeds 3 --dir /tmp/campaign",
		RunE:    func(*cobra.Command, []string) error { return c.runCampaign(flags) },
	}
	f := cmd.Flags()
	f.IntVar(&flags.Processes, "processes", 12, "number of gatherers")
	f.IntVar(&flags.Voters, "voters", 5, "number of gatherers that vote on the policy")
	f.DurationVar(&flags.Length, "length", 10*time.Minute, "duration of the run of each seed")
	f.IntVar(&flags.Faults, "faults", 60, "number of faults, in addition to a rolling restart")
	f.Uint64Var(&flags.Seed, "seed", 1, "first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "number of seeds, run one after the other")
	f.StringVar(&flags.Second, "second", "", "path of another build of the program, which replaces this one at restarts")
	f.StringVar(&flags.Dir, "dir", "campaign", "directory for history and report")
	f.IntVar(&flags.shrink, "shrink", 0, "after a violation, maximum number of runs to find a smaller script that still fails")
	return cmd
}

func (f campaignFlags) validate() error {
	processesOK := f.Processes >= 3 && f.Processes <= 40
	votersOK := f.Voters >= 3 && f.Voters <= 7 && f.Voters <= f.Processes
	lengthOK := f.Length >= 20*time.Second && f.Length <= 24*time.Hour
	if !processesOK || !votersOK || !lengthOK || f.Faults < 0 || f.seeds < 1 || f.shrink < 0 {
		return errors.New("campaign flags out of range: want --processes 3 to 40, --voters 3 to 7 and at most --processes, --length 20s to 24h, --faults and --shrink 0 or more, --seeds 1 or more")
	}
	return nil
}

// runCampaign runs all seeds. It ends with exitFailed if any of them violated an invariant.
func (c *cli) runCampaign(flags campaignFlags) error {
	if err := flags.validate(); err != nil {
		return err
	}
	cfg := flags.Config
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		return failed(err)
	}
	cfg.Logf = func(format string, args ...any) { fmt.Fprintf(c.errs, format+"\n", args...) }
	broken := 0
	for range flags.seeds {
		n, err := c.runSeed(cfg, flags.shrink)
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

// runSeed runs one seed, writes its report and prints the violations. It returns their number.
func (c *cli) runSeed(cfg soak.Config, shrink int) (broken int, err error) {
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
	err = c.print(map[string]any{"seed": cfg.Seed, "broken": result.Violations, "report": path, "verdict": verdict}, func(w io.Writer) {
		for _, violation := range result.Violations {
			fmt.Fprintln(w, "broken:", violation)
		}
		fmt.Fprintf(w, "report: %s\n%s\n", path, verdict)
	})
	return len(result.Violations), err
}

// shrinkScript returns a smaller script that still violates an invariant. It executes at most the
// given number of runs to find one, and returns nil if result has no violation or runs is 0.
func shrinkScript(cfg soak.Config, result soak.Result, runs int) (faults.Script, error) {
	if len(result.Violations) == 0 || runs <= 0 {
		return nil, nil
	}
	cfg.Logf = func(string, ...any) {}
	return soak.Shrink(cfg, result.Script, runs, soak.Run)
}
