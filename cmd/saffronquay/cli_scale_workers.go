package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"saffronquay/internal/scale/work"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// scaleWorkers returns the command that simulates a fleet of workers until it is interrupted.
func (c *cli) scaleWorkers() *cobra.Command {
	var cfg work.Config
	var length time.Duration
	cmd := &cobra.Command{
		Use: "workers", Short: "Simulate thousands of workers without data, and the discovery service that lists them", Args: cobra.NoArgs,
		Long: "Listens on loopback as --workers workers, each on its own port, which answer every call of the platform's protocol without doing any work, and\n" +
			"as the discovery service, which serves the list of workers and pushes its changes. The first output line has the addresses. GET /counts at\n" +
			"discovery returns counters, POST /change?entries=N restarts N workers. Runs until Ctrl-C or SIGTERM.",
		Example: "  saffronquay scale workers --workers 2600 --cells 1300",
		RunE: func(cmd *cobra.Command, _ []string) error {
			w, err := work.Listen(cfg)
			if err != nil {
				return failed(err)
			}
			defer w.Close()
			d, err := work.NewDiscovery(w)
			if err != nil {
				return failed(err)
			}
			defer d.Close()
			b, err := json.Marshal(work.Hollow{Address: d.Address(), Worker: w.Address(0), PID: os.Getpid()})
			if err != nil {
				return failed(err)
			}
			fmt.Fprintln(c.out, string(b))
			ctx, stop := interrupted(cmd.Context(), length)
			defer stop()
			<-ctx.Done()
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&cfg.Workers, "workers", 2600, "number of workers")
	f.IntVar(&cfg.Cells, "cells", 1300, "number of cells, to which the workers are assigned round-robin")
	f.DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "mean response time of a worker; 0: immediate")
	f.IntVar(&cfg.Value, "value", 8, "size in bytes of a worker's result for a part")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the delays")
	f.DurationVar(&length, "for", 0, "how long to run; 0: until interrupted")
	return cmd
}

// scaleWork returns the command that measures the cost of queries in one gatherer process against
// their size.
func (c *cli) scaleWork() *cobra.Command {
	var cfg work.SlopeConfig
	names := strings.Join(work.Slopes(), ", ")
	cmd := &cobra.Command{
		Use: "work SLOPE", Short: "Measure the cost of queries in one gatherer process against their size: " + names,
		Long: "Starts one gatherer and, in another process, a simulated fleet of workers, sends queries of at least four sizes, and prints processor time, bytes,\n" +
			"messages and memory for each size, with a least-squares line and its residuals. All started processes end with it.",
		Example: "  saffronquay scale work parts\n  saffronquay scale work rest --for 20s", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, words []string) error {
			if !slices.Contains(work.Slopes(), words[0]) {
				return fmt.Errorf("unknown slope %q: want one of %s", words[0], names)
			}
			var err error
			if cfg.Program.File, err = os.Executable(); err != nil {
				return failed(err)
			}
			path := strings.Fields(cmd.CommandPath()) // "workers" has the same parent command
			cfg.Program.Hollow = append(path[1:len(path)-1:len(path)-1], "workers")
			cfg.Logf = func(format string, args ...any) { fmt.Fprintf(c.errs, format+"\n", args...) }
			ctx, stop := interrupted(cmd.Context(), 10*time.Minute)
			defer stop()
			table, err := work.Measure(ctx, words[0], cfg)
			if err != nil {
				return failed(err)
			}
			return c.print(table, func(out io.Writer) { table.Write(out) })
		},
	}
	f := cmd.Flags()
	f.DurationVar(&cfg.For, "for", 8*time.Second, "measuring time of each size")
	f.IntVar(&cfg.Cores, "cores", 1, "maximum number of cores the gatherer uses at a time; 0: all")
	f.IntVar(&cfg.Workers, "workers", 2600, "number of workers, unless the slope varies it")
	f.IntVar(&cfg.Parts, "parts", 1500, "parts per query, unless the slope varies them")
	f.DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "mean response time of a worker")
	return cmd
}
