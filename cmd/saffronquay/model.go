package main

import (
	"fmt"
	"io"
	"maps"
	"saffronquay/internal/broker/simulation"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// simulatedDays are the scenarios of the command model by name.
var simulatedDays = map[string]func(seed uint64, gatherers, servers int) simulation.Day{
	"calm": simulation.Fleet, "burst": simulation.Burst,
	"zone": simulation.ZoneLost, "herd": simulation.GathererRestarts, "join": simulation.ServerRestarts,
}

// simulatedDayNames returns the names of the scenarios, separated by commas.
func simulatedDayNames() string { return strings.Join(slices.Sorted(maps.Keys(simulatedDays)), ", ") }

// modelFlags are the flags of the command model.
type modelFlags struct {
	seed               uint64
	gatherers, servers int
}

// modelCommand returns the command that simulates a day of a large fleet in virtual time.
func (c *cli) modelCommand() *cobra.Command {
	var flags modelFlags
	cmd := &cobra.Command{
		Use: "model DAY", Short: "Simulate a day of a large fleet in virtual time: " + simulatedDayNames(),
		Long: "Simulates one day with a decision module for each gatherer, over servers with queues, warm-up and delayed load reports. It opens no sockets.\n" +
			"Each line covers the queries first sent within one second: their worth and the share of it answered in time; client tries, rejections\n" +
			"and attempts; the servers' work, and the part of it that led to answers in time, in seconds.",
		Example: "  saffronquay model zone --gatherers 80 --servers 60 --seed 3", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return c.runModel(args[0], flags) },
	}
	cmd.AddCommand(c.modelFleetCommand(), c.modelPolicyCommand())
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the run, which is deterministic")
	cmd.Flags().IntVar(&flags.gatherers, "gatherers", 80, "number of gatherers")
	cmd.Flags().IntVar(&flags.servers, "servers", 60, "number of servers, and of ranges")
	return cmd
}

// runModel simulates a day and prints its result. It ends with exitFailed if an at-most-once part
// was sent again.
func (c *cli) runModel(name string, flags modelFlags) error {
	day := simulatedDays[name]
	switch {
	case day == nil:
		return fmt.Errorf("unknown day %q: want one of %s", name, simulatedDayNames())
	case flags.gatherers < 1 || flags.gatherers > 1000 || flags.servers < 8 || flags.servers > 1000:
		return fmt.Errorf("model flags out of range: want --gatherers 1 to 1000 and --servers 8 to 1000, not %d and %d", flags.gatherers, flags.servers)
	}
	result, err := simulation.Play(day(flags.seed, flags.gatherers, flags.servers))
	if err != nil {
		return err
	}
	if err := c.print(result, func(w io.Writer) { printDay(w, result) }); err != nil {
		return err
	}
	if result.RunTwice > 0 {
		return failed(fmt.Errorf("simulation: %d at-most-once parts were sent again", result.RunTwice))
	}
	return nil
}

// printDay prints a line for each second in which queries were sent, and a summary.
func printDay(w io.Writer, r simulation.Result) {
	fmt.Fprintf(w, "%6s %8s %8s %6s %8s %8s %8s %8s\n", "second", "asked", "in time", "tries", "refused", "attempts", "work s", "useful s")
	for second, x := range r.Windows {
		if x.Requested > 0 {
			fmt.Fprintf(w, "%6d %8.0f %8.3f %6d %8d %8d %8.1f %8.1f\n", second, x.Requested, x.InTime/x.Requested, x.ClientAttempts, x.Refused, x.Sends,
				float64(x.Work)/1e6, x.UsefulWork/1e6)
		}
	}
	fmt.Fprintf(w, "served %.3f of the worth; cold servers: %d sent more than they may be, the worst %.2f of it; run twice %d\n", r.Served, r.Overloaded,
		r.WorstLoad, r.RunTwice)
}
