package main

import (
	"errors"
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

// modelFleetFlags are the flags of the command model fleet.
type modelFleetFlags struct {
	views.Config
	cut, stop time.Duration // how long the fleet is partitioned, and how long one member is stopped; 0: not at all
	kill      int           // number of members killed
	file      string        // path of a script of faults, or ""
	plot      string        // path of the plot, or ""
}

// modelFleetCommand returns the command that simulates the membership views of a fleet in virtual
// time.
func (c *cli) modelFleetCommand() *cobra.Command {
	flags := modelFleetFlags{Config: views.Config{SeedMembers: 3, StartWithin: time.Second}}
	cmd := &cobra.Command{
		Use: "fleet", Short: "Simulate the membership views of a fleet in virtual time, under faults", Args: cobra.NoArgs,
		Long: "Simulates the membership protocol of many gatherers in virtual time, and prints how many views are correct and how many members they count.\n" +
			"All gatherers start within a second; --kill, --cut and --stop take effect at second 5; --script FILE adds any faults, in the form of\n" +
			"internal/testing/faults. Exits with 1 if the views have not converged at the end.",
		Example: "  saffronquay model fleet --members 300 --loss 0.1 --cut 12s --plot split.svg",
		RunE:    func(*cobra.Command, []string) error { return c.runModelFleet(flags) },
	}
	f := cmd.Flags()
	f.IntVar(&flags.Members, "members", 300, "number of members")
	f.Float64Var(&flags.Loss, "loss", 0, "fraction of datagrams that are lost")
	f.DurationVar(&flags.Delay, "delay", 500*time.Microsecond, "minimum one-way delay of a datagram; the maximum is twice that")
	f.DurationVar(&flags.cut, "cut", 0, "how long two halves of the fleet are partitioned")
	f.IntVar(&flags.kill, "kill", 0, "number of members killed at the same time")
	f.DurationVar(&flags.stop, "stop", 0, "how long one member is stopped before it resumes")
	f.StringVar(&flags.file, "script", "", "path of a file of faults")
	f.Uint64Var(&flags.Seed, "seed", 1, "seed of the run, which is deterministic")
	f.DurationVar(&flags.Duration, "length", 40*time.Second, "length of the run, in virtual time")
	f.StringVar(&flags.plot, "plot", "", "path of a plot to write: .svg or .png")
	return cmd
}

func (f modelFleetFlags) validate() error {
	badMembers := f.Members < 2 || f.Members > 1000
	badLoss := f.Loss < 0 || f.Loss >= 1
	badKill := f.kill < 0 || f.kill >= f.Members
	badTimes := f.cut < 0 || f.stop < 0 || f.Delay < 0 || f.Duration <= 0
	if badMembers || badLoss || badKill || badTimes {
		return errors.New("model fleet flags out of range: want --members 2 to 1000, --loss 0 to under 1, --kill 0 to under --members, --length above 0, and --delay, --cut and --stop 0 or more")
	}
	return nil
}

// faultScript returns the faults that the flags specify, in the text form of package faults.
func (f modelFleetFlags) faultScript() (string, error) {
	n, text := f.Members, ""
	if f.kill > 0 {
		text += fmt.Sprintf("at 5s kill %d-%d\n", n-f.kill, n-1)
	}
	if f.cut > 0 {
		text += fmt.Sprintf("at 5s for %s cut 0-%d %d-%d\n", f.cut, n/2-1, n/2, n-1)
	}
	if f.stop > 0 {
		text += fmt.Sprintf("at 5s for %s stop %d\n", f.stop, n-1)
	}
	if f.file == "" {
		return text, nil
	}
	more, err := os.ReadFile(f.file)
	return text + string(more), err
}

// runModelFleet runs the simulation and prints its result. It ends with exitFailed if the views of
// the members differ at the end.
func (c *cli) runModelFleet(flags modelFleetFlags) error {
	if err := flags.validate(); err != nil {
		return err
	}
	text, err := flags.faultScript()
	if err != nil {
		return unreachable(err)
	}
	cfg := flags.Config
	if cfg.Script, err = script.Parse(text, cfg.Members); err != nil {
		return failed(err)
	}
	began := time.Now()
	result, err := views.Run(cfg)
	if err != nil {
		return failed(err)
	}
	if flags.plot != "" {
		if err := drawViews(flags.plot, cfg, result); err != nil {
			return unreachable(err)
		}
	}
	err = c.print(summarizeViews(cfg, result), func(w io.Writer) { printViews(w, cfg, result, time.Since(began)) })
	if err != nil {
		return err
	}
	if result.ConvergedAt < 0 {
		return failed(errors.New("simulation: the views of the live members have not converged at the end"))
	}
	return nil
}

// viewsSummary is the JSON result of a run.
type viewsSummary struct {
	ConvergedAfterS float64 `json:"settled_after_s"` // from the end of the last fault; -1 if never
	DetectP50Ms     int64   `json:"detect_p50_ms"`
	DetectP99Ms     int64   `json:"detect_p99_ms"`
	FalseDead       int     `json:"false_dead"`
	BytesS          float64 `json:"bytes_per_member_s"`
}

func summarizeViews(cfg views.Config, r views.Result) viewsSummary {
	v := viewsSummary{ConvergedAfterS: -1, FalseDead: r.FalseDeaths, BytesS: r.BytesPerSecond}
	if took := r.ConvergedAfter(cfg.Script.End()); took >= 0 {
		v.ConvergedAfterS = took.Seconds()
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
	fmt.Fprintf(w, "settled_after_s=%.2f detect_p50_ms=%d detect_p99_ms=%d false_dead=%d bytes_per_member_s=%.0f (%s of real time)\n", v.ConvergedAfterS, v.DetectP50Ms,
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
