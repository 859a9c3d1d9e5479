package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"saffronquay/internal/scale"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// scale returns the command that measures the control plane of large fleets, most of whose
// gatherers are simulated.
func (c *cli) scale() *cobra.Command {
	var p scale.Plan
	var names []string
	for _, s := range scale.Scenes {
		names = append(names, s.Name)
	}
	cmd := &cobra.Command{
		Use: "scale", Short: "Measure the control plane of large fleets, with simulated gatherers beside real ones", Args: cobra.NoArgs,
		Long: "Starts fleets on loopback that consist of a few real gatherers, five of them voters under light load from stand-ins, and many simulated ones: these\n" +
			"have the real membership, policy and budget shares on real sockets, but no engine, listeners, workers or store, and many share one process. It\n" +
			"measures messages, bytes, processor time and memory of each, the time until a change and a crash are known everywhere, and the peak second of events:\n" + strings.Join(names, ", ") + ".\n\n" +
			"Bounds: 1600 gatherers, 200 processes, 12 GB, loopback only, --limit of time; each wait times out after 90 s; all started processes end with it.\n" +
			"If --out holds a record already, this run is added to it and the tables are regenerated.",
		Example: "  saffronquay scale --sizes 50,100,200,300,400,600 --runs 3 --out /tmp/scale\n  saffronquay scale --gatherers 600 --events 'nine down,zone of 100' --out /tmp/scale",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, s := range p.Scenes {
				if !slices.Contains(names, s) {
					return fmt.Errorf("--events: unknown event %q: want one of %s", s, strings.Join(names, ", "))
				}
			}
			if p.Runs < 1 || p.Limit <= 0 || p.Effort.Changes < 0 || p.Effort.Crashes < 0 || p.Effort.Rest < time.Second {
				return errors.New("scale flags out of range: want --runs 1 or more, --limit above 0, --changes and --crashes 0 or more, --rest 1s or more")
			}
			var err error
			if p.Fleet.Program, err = os.Executable(); err != nil {
				return failed(err)
			}
			p.Fleet.Logf = func(format string, args ...any) { fmt.Fprintf(c.errs, format+"\n", args...) }
			ctx, stop := interrupted(cmd.Context(), 0)
			defer stop()
			rec, err := scale.Run(ctx, p)
			if err != nil {
				return failed(err)
			}
			if err := c.print(rec, func(w io.Writer) { fmt.Fprint(w, rec.Markdown()) }); err != nil {
				return err
			}
			if len(rec.Faults) > 0 {
				return &exitError{code: exitFailed}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&p.Sizes, "sizes", nil, "numbers of gatherers, one fleet for each")
	f.IntVar(&p.Fleet.Gatherers, "gatherers", 600, "number of gatherers in --busy, --padding and --events")
	f.IntSliceVar(&p.Busy, "busy", nil, "numbers of teams that are busy at all gatherers, one fleet for each")
	f.IntSliceVar(&p.Padding, "padding", nil, "numbers of bytes added to the policy, one fleet for each")
	f.StringSliceVar(&p.Scenes, "events", nil, "names of the events")
	f.IntVar(&p.Fleet.Voters, "voters", 5, "number of real processes that vote")
	f.IntVar(&p.Fleet.Followers, "followers", 3, "number of real processes that don't vote")
	f.IntVar(&p.Fleet.Process, "process", 100, "simulated gatherers per process; each process is a zone")
	f.IntSliceVar(&p.Fleet.Apart, "apart", []int{9}, "sizes of additional processes of simulated gatherers; 'nine down' kills the first")
	f.IntVar(&p.Fleet.Teams, "teams", 12, "number of teams with a contract")
	f.DurationVar(&p.Fleet.Hold, "hold", 0, "hold_ms of the rollout; 0: the program's default")
	f.IntVar(&p.Fleet.Queries, "queries", 20, "queries per second, over all voters")
	f.DurationVar(&p.Delay, "delay", 30*time.Millisecond, "minimum one-way delay between the regions; the maximum is twice that")
	f.DurationVar(&p.Effort.Rest, "rest", 15*time.Second, "measuring time of the idle rates")
	f.DurationVar(&p.Effort.Calm, "calm", time.Minute, "maximum wait until no membership updates are sent any more")
	f.IntVar(&p.Effort.Changes, "changes", 5, "number of policy changes at each size")
	f.IntVar(&p.Effort.Crashes, "crashes", 1, "number of real non-voters killed at each size, one after the other")
	f.IntVar(&p.Runs, "runs", 1, "number of runs")
	f.Uint64Var(&p.Fleet.Seed, "seed", 1, "seed of the first run; each further run adds one")
	f.StringVar(&p.Out, "out", "scale", "path of the record (.json) and the tables (.md), without extension")
	f.StringVar(&p.Fleet.Dir, "dir", os.TempDir(), "directory for temporary files")
	f.DurationVar(&p.Limit, "limit", time.Hour, "time after which no further fleet is started")
	cmd.AddCommand(c.scaleHollow(), c.scalePlace(), c.scaleWorkers(), c.scaleWork(), c.scaleEvents())
	return cmd
}

// scaleHollow returns the hidden command that runs a process of simulated gatherers for scale.
func (c *cli) scaleHollow() *cobra.Command {
	return &cobra.Command{
		Use: "hollow", Hidden: true, Short: "Run simulated gatherers, controlled by commands on standard input", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := scale.Serve(c.in, c.out); err != nil {
				return failed(err)
			}
			return nil
		},
	}
}
