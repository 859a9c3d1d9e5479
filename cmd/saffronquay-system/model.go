package main

import (
	"context"
	"fmt"
	"io"
	"saffronquay/internal/scheduler/simulation"
	"strings"

	"github.com/urfave/cli/v3"
)

// modelCommand returns the command that plays the control plane in virtual time (package simulation).
func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "play the control side under faults in virtual time, and check what happened",
		Description: "Each seed is one history, which is the same each time it is played. A history that breaks a rule is printed with its seed;\n" +
			"--first with that seed, --seeds 1 and --trace show what led to it. --fault seeds a mistake, to see that it is noticed:\n" + faultNames(),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 100, Usage: "histories to play"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "seed of the first history"},
			&cli.StringFlag{Name: "fault", Usage: "number or text of a mistake to be seeded"},
			&cli.BoolFlag{Name: "trace", Usage: "print what happens"},
		},
		Action: playModel,
	}
}

// faultNames lists the mistakes that can be seeded, with their numbers, for the help.
func faultNames() string {
	var names strings.Builder
	for i, bug := range simulation.Bugs {
		fmt.Fprintf(&names, "  %2d  %s\n", i+1, bug)
	}
	return names.String()
}

// seededFault returns the mistake that the flag --fault names, by its number or its text; NoBug where it is empty.
func seededFault(name string) (simulation.Bug, error) {
	if name == "" {
		return simulation.NoBug, nil
	}
	for i, bug := range simulation.Bugs {
		if name == string(bug) || name == fmt.Sprint(i+1) {
			return bug, nil
		}
	}
	return simulation.NoBug, fmt.Errorf("--fault: want a number from 1 to %d or the text of a mistake, not %q", len(simulation.Bugs), name)
}

// playModel plays histories in virtual time: one with its trace, or many with a sum of their reports. It returns an error where a history breaks
// a rule.
func playModel(_ context.Context, c *cli.Command) error {
	bug, err := seededFault(c.String("fault"))
	if err != nil {
		return err
	}
	out, first := c.Root().Writer, c.Uint64("first")
	if c.Bool("trace") {
		return traceHistory(out, first, bug)
	}
	return scanHistories(out, first, c.Uint64("seeds"), bug)
}

// traceHistory plays the history of a seed and prints what happens in it.
func traceHistory(out io.Writer, seed uint64, bug simulation.Bug) error {
	options := simulation.Seeded(seed, bug)
	options.Trace = func(format string, values ...any) { fmt.Fprintf(out, format+"\n", values...) }
	report, err := simulation.Play(options)
	fmt.Fprintf(out, "%+v\n", report)
	return err
}

// scanHistories plays the histories of consecutive seeds and prints those that break a rule, and the sum of all reports.
func scanHistories(out io.Writer, first, seeds uint64, bug simulation.Bug) error {
	var total simulation.Report
	broken := 0
	simulation.Scan(first, seeds, bug, func(r simulation.Result) bool {
		total.Add(r.Report)
		if r.Err != nil {
			broken++
			fmt.Fprintf(out, "seed %d: %v\n", r.Seed, r.Err)
		}
		return true
	})
	fmt.Fprintf(out, "%+v\nseeds %d, broken %d\n", total, seeds, broken)
	if broken > 0 {
		return fmt.Errorf("%d histories broke a rule", broken)
	}
	return nil
}
