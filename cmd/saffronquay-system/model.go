package main

import (
	"context"
	"fmt"
	"io"
	"saffronquay/internal/scheduler/simulation"
	"strings"

	"github.com/urfave/cli/v3"
)

// modelCommand returns the command that simulates the control plane in virtual time (package
// simulation).
func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "simulate the control plane under faults in virtual time, and check its guarantees",
		Description: "Each seed determines one history. A history that violates a guarantee is printed with its seed; to trace it, pass that\n" +
			"seed with --first, --seeds 1 and --trace. --fault seeds a bug, to verify that the checks detect it:\n" + bugNames(),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 100, Usage: "number of histories to simulate"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "seed of the first history"},
			&cli.StringFlag{Name: "fault", Usage: "number or text of the bug to seed"},
			&cli.BoolFlag{Name: "trace", Usage: "print the events of the history"},
		},
		Action: runModel,
	}
}

// bugNames lists the bugs that can be seeded, with their numbers, for the help.
func bugNames() string {
	var names strings.Builder
	for i, bug := range simulation.Bugs {
		fmt.Fprintf(&names, "  %2d  %s\n", i+1, bug)
	}
	return names.String()
}

// seededBug returns the bug that the flag --fault names by its number or text, or NoBug if name is
// empty.
func seededBug(name string) (simulation.Bug, error) {
	if name == "" {
		return simulation.NoBug, nil
	}
	for i, bug := range simulation.Bugs {
		if name == string(bug) || name == fmt.Sprint(i+1) {
			return bug, nil
		}
	}
	return simulation.NoBug, fmt.Errorf("--fault: must be a number from 1 to %d or the text of a bug, got %q", len(simulation.Bugs), name)
}

// runModel simulates histories in virtual time: one with its trace, or many with the sum of their
// reports. It returns an error if a history violates a guarantee.
func runModel(_ context.Context, c *cli.Command) error {
	bug, err := seededBug(c.String("fault"))
	if err != nil {
		return err
	}
	out, first := c.Root().Writer, c.Uint64("first")
	if c.Bool("trace") {
		return traceHistory(out, first, bug)
	}
	return scanHistories(out, first, c.Uint64("seeds"), bug)
}

// traceHistory simulates the history of a seed and prints its trace and report.
func traceHistory(out io.Writer, seed uint64, bug simulation.Bug) error {
	options := simulation.OptionsForSeed(seed, bug)
	options.Trace = func(format string, values ...any) { fmt.Fprintf(out, format+"\n", values...) }
	report, err := simulation.Play(options)
	fmt.Fprintf(out, "%+v\n", report)
	return err
}

// scanHistories simulates the histories of consecutive seeds, and prints those that violate a guarantee
// and the sum of all reports.
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
		return fmt.Errorf("%d histories violated a guarantee", broken)
	}
	return nil
}
