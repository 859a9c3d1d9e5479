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

// scale plays the control of a fleet at size with hollow gatherers.
func (c *cli) scale() *cobra.Command {
	var p scale.Plan
	var names []string
	for _, s := range scale.Scenes {
		names = append(names, s.Name)
	}
	cmd := &cobra.Command{
		Use: "scale", Short: "Measure the control of a fleet at size, with hollow gatherers beside real ones", Args: cobra.NoArgs,
		Long: "Starts fleets on loopback of a few real gatherers, five of them voters under light load from stand-ins, and many hollow ones: the real view,\n" +
			"policy and shares with their real sockets, without engine, fronts, workers or store, many to a process. It measures words, bytes, processor\n" +
			"time and memory of each, how long a change and a crash take to be known everywhere, and what events cost at their peak second:\n" + strings.Join(names, ", ") + ".\n\n" +
			"Bounds: 1600 gatherers, 200 processes, 12 GB, loopback only, --limit of time; each wait ends after 90 s; it ends with all that it started.\n" +
			"Where --out has a record already, this run is added to it, and the tables are made anew.",
		Example: "  saffronquay scale --sizes 50,100,200,300,400,600 --runs 3 --out /tmp/scale\n  saffronquay scale --gatherers 600 --events 'nine down,zone of 100' --out /tmp/scale",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, s := range p.Scenes {
				if !slices.Contains(names, s) {
					return fmt.Errorf("--events: there is no %q; there are %s", s, strings.Join(names, ", "))
				}
			}
			if p.Runs < 1 || p.Limit <= 0 || p.Effort.Changes < 0 || p.Effort.Crashes < 0 || p.Effort.Rest < time.Second {
				return errors.New("want at least one run, a limit of time, and a rest of a second or more")
			}
			var err error
			if p.Fleet.Program, err = os.Executable(); err != nil {
				return failed(err)
			}
			p.Fleet.Say = func(format string, args ...any) { fmt.Fprintf(c.errs, format+"\n", args...) }
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
	f.IntSliceVar(&p.Sizes, "sizes", nil, "fleets of so many gatherers each")
	f.IntVar(&p.Fleet.Gatherers, "gatherers", 600, "gatherers of a fleet where something else varies, and in events")
	f.IntSliceVar(&p.Busy, "busy", nil, "fleets in which so many teams are busy everywhere")
	f.IntSliceVar(&p.Padding, "padding", nil, "fleets whose policy is longer by so many bytes")
	f.StringSliceVar(&p.Scenes, "events", nil, "events, by their names")
	f.IntVar(&p.Fleet.Voters, "voters", 5, "real processes that vote")
	f.IntVar(&p.Fleet.Followers, "followers", 3, "real processes that follow")
	f.IntVar(&p.Fleet.Process, "process", 100, "hollow gatherers to a process, which is a zone")
	f.IntSliceVar(&p.Fleet.Apart, "apart", []int{9}, "sizes of further processes of hollow gatherers; the first is killed in 'nine down'")
	f.IntVar(&p.Fleet.Teams, "teams", 12, "teams of the contracts")
	f.DurationVar(&p.Fleet.Hold, "hold", 0, "hold_ms of the rollout; 0: the program's default")
	f.IntVar(&p.Fleet.Queries, "queries", 20, "queries a second, over all voters")
	f.DurationVar(&p.Delay, "delay", 30*time.Millisecond, "between the regions, at least; up to twice that")
	f.DurationVar(&p.Effort.Rest, "rest", 15*time.Second, "how long rates at rest are measured")
	f.DurationVar(&p.Effort.Calm, "calm", time.Minute, "how long is waited at most until no news are told any more")
	f.IntVar(&p.Effort.Changes, "changes", 5, "changes of the policy at each size")
	f.IntVar(&p.Effort.Crashes, "crashes", 1, "real followers that are killed at each size, one after the other")
	f.IntVar(&p.Runs, "runs", 1, "how often all of it is played")
	f.Uint64Var(&p.Fleet.Seed, "seed", 1, "of the first run; the next one's is greater by one")
	f.StringVar(&p.Out, "out", "scale", "where the record (.json) and the tables (.md) are written")
	f.StringVar(&p.Fleet.Dir, "dir", os.TempDir(), "for what lasts as long as the run")
	f.DurationVar(&p.Limit, "limit", time.Hour, "no fleet is begun after so long")
	cmd.AddCommand(c.scaleHollow(), c.scalePlace(), c.scaleWorkers(), c.scaleWork(), c.scaleEvents())
	return cmd
}

// scaleHollow is a process of hollow gatherers.
func (c *cli) scaleHollow() *cobra.Command {
	return &cobra.Command{
		Use: "hollow", Hidden: true, Short: "Be hollow gatherers, by orders on the standard input", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := scale.Serve(c.in, c.out); err != nil {
				return failed(err)
			}
			return nil
		},
	}
}
