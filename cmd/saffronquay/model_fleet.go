package main

import (
	"fmt"
	"io"
	"os"
	"saffronquay/internal/testing/plots"
	"strings"
	"time"

	"github.com/spf13/cobra"

	views "saffronquay/internal/cluster/swim/simulation"
	script "saffronquay/internal/testing/faults"
)

// modelFleetCommand plays the views of a fleet in virtual time.
func (c *cli) modelFleetCommand() *cobra.Command {
	cfg := views.Config{SeedMembers: 3, StartWithin: time.Second}
	var cut, stop time.Duration
	var kill int
	var file, plot string
	cmd := &cobra.Command{
		Use: "fleet", Short: "Play the views of a fleet in virtual time, under faults", Args: cobra.NoArgs,
		Long: "Plays the core that keeps a gatherer's view of its fleet, many times over, in virtual time: how many views are right, how many members\n" +
			"they reckon with. All are started within a second; --kill, --cut and --stop do their work at second 5; --script FILE has any faults\n" +
			"(internal/testing/faults has the form, which the harness of the tests reads as well). Ends with 1 where views are not one again.",
		Example: "  saffronquay model fleet --members 300 --loss 0.1 --cut 12s --plot split.svg",
		RunE: func(*cobra.Command, []string) error {
			n := cfg.Members
			if n < 2 || n > 1000 || cfg.Loss < 0 || cfg.Loss >= 1 || kill < 0 || kill >= n || cut < 0 || stop < 0 || cfg.Delay < 0 || cfg.Duration <= 0 {
				return fmt.Errorf("want 2 to 1000 members, a loss of 0 to under 1, fewer killed than there are, and times of nought or more")
			}
			text := ""
			if kill > 0 {
				text += fmt.Sprintf("at 5s kill %d-%d\n", n-kill, n-1)
			}
			if cut > 0 {
				text += fmt.Sprintf("at 5s for %s cut 0-%d %d-%d\n", cut, n/2-1, n/2, n-1)
			}
			if stop > 0 {
				text += fmt.Sprintf("at 5s for %s stop %d\n", stop, n-1)
			}
			if file != "" {
				b, err := os.ReadFile(file)
				if err != nil {
					return unreachable(err)
				}
				text += string(b)
			}
			var err error
			if cfg.Script, err = script.Parse(text, n); err != nil {
				return failed(err)
			}
			began := time.Now()
			r, err := views.Run(cfg)
			if err != nil {
				return failed(err)
			}
			if plot != "" {
				if err := drawViews(plot, cfg, r); err != nil {
					return unreachable(err)
				}
			}
			if err := c.print(summarizeViews(cfg, r), func(w io.Writer) { printViews(w, cfg, r, time.Since(began)) }); err != nil {
				return err
			}
			if r.SettledAt < 0 {
				return failed(fmt.Errorf("views are not one at the end"))
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&cfg.Members, "members", 300, "how many members")
	f.Float64Var(&cfg.Loss, "loss", 0, "share of datagrams that are lost")
	f.DurationVar(&cfg.Delay, "delay", 500*time.Microsecond, "of a datagram one way, and as much again by chance")
	f.DurationVar(&cut, "cut", 0, "two halves are cut from each other for so long")
	f.IntVar(&kill, "kill", 0, "so many are killed at once")
	f.DurationVar(&stop, "stop", 0, "one is stopped for so long, and goes on")
	f.StringVar(&file, "script", "", "a file of faults")
	f.Uint64Var(&cfg.Seed, "seed", 1, "the same seed gives the same run")
	f.DurationVar(&cfg.Duration, "length", 40*time.Second, "how long, in virtual time")
	f.StringVar(&plot, "plot", "", "a file for a drawing: .svg or .png")
	return cmd
}

// viewsVerdict is what a run came to, for scripts.
type viewsSummary struct {
	SettledAfterS float64 `json:"settled_after_s"` // from the end of the last fault; -1: not
	DetectP50Ms   int64   `json:"detect_p50_ms"`
	DetectP99Ms   int64   `json:"detect_p99_ms"`
	FalseDead     int     `json:"false_dead"`
	BytesS        float64 `json:"bytes_per_member_s"`
}

func summarizeViews(cfg views.Config, r views.Result) viewsSummary {
	v := viewsSummary{SettledAfterS: -1, FalseDead: r.FalseDeaths, BytesS: r.BytesPerSecond}
	if took := r.SettledAfter(cfg.Script.End()); took >= 0 {
		v.SettledAfterS = took.Seconds()
	}
	if d := r.DetectionTimes; len(d) > 0 {
		v.DetectP50Ms, v.DetectP99Ms = views.Quantile(d, 0.5).Milliseconds(), views.Quantile(d, 0.99).Milliseconds()
	}
	return v
}

func printViews(w io.Writer, cfg views.Config, r views.Result, took time.Duration) {
	fmt.Fprint(w, strings.TrimSuffix(cfg.Script.String(), "\n"), "\n")
	fmt.Fprintf(w, "%8s %6s %6s %14s %8s\n", "second", "live", "right", "reckoned with", "fewest")
	var last views.Sample
	for i, s := range r.Samples {
		if i == 0 || s.At%time.Second == 0 && (s.Live != last.Live || s.Correct != last.Correct || s.MinEffectiveSize != last.MinEffectiveSize || s.MinAlive != last.MinAlive) {
			fmt.Fprintf(w, "%8.1f %6d %6d %6d to %4d %8d\n", s.At.Seconds(), s.Live, s.Correct, s.MinEffectiveSize, s.MaxEffectiveSize, s.MinAlive)
			last = s
		}
	}
	v := summarizeViews(cfg, r)
	fmt.Fprintf(w, "settled_after_s=%.2f detect_p50_ms=%d detect_p99_ms=%d false_dead=%d bytes_per_member_s=%.0f (%s of real time)\n", v.SettledAfterS, v.DetectP50Ms,
		v.DetectP99Ms, v.FalseDead, v.BytesS, took.Round(10*time.Millisecond))
}

func drawViews(file string, cfg views.Config, r views.Result) error {
	lines := []plots.Line{{Name: "live"}, {Name: "views that are right"}, {Name: "least reckoned with"}, {Name: "fewest seen alive"}}
	for _, s := range r.Samples {
		for i, y := range []int{s.Live, s.Correct, s.MinEffectiveSize, s.MinAlive} {
			lines[i].X, lines[i].Y = append(lines[i].X, s.At.Seconds()), append(lines[i].Y, float64(y))
		}
	}
	return plots.Draw(file, fmt.Sprintf("%d members, loss %g, seed %d", cfg.Members, cfg.Loss, cfg.Seed), "members", lines...)
}
