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

// scaleWorkers plays a hollow fleet of workers until it is told to end.
func (c *cli) scaleWorkers() *cobra.Command {
	var cfg work.Config
	var length time.Duration
	cmd := &cobra.Command{
		Use: "workers", Short: "Listen for thousands of workers that hold nothing, and for those who want the list of them", Args: cobra.NoArgs,
		Long: "Listens on loopback for so many workers, each at a port of its own, that answer every call in the platform's protocol and do no work for it,\n" +
			"and for discovery, which gives the list of them and pushes its changes. The first line tells where. GET /counts at discovery tells what was\n" +
			"seen, POST /change?entries=N has so many workers start anew. Ends with Ctrl-C or SIGTERM.",
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
	f.IntVar(&cfg.Workers, "workers", 2600, "how many workers")
	f.IntVar(&cfg.Cells, "cells", 1300, "cells that they stand in, in turn")
	f.DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "between a call and its answer, on average; 0: at once")
	f.IntVar(&cfg.Value, "value", 8, "bytes that a worker gives for a part")
	f.Uint64Var(&cfg.Seed, "seed", 1, "of the delays")
	f.DurationVar(&length, "for", 0, "end after so long; 0: when told to")
	return cmd
}

// scaleWork measures what the work on queries costs one gatherer process at size.
func (c *cli) scaleWork() *cobra.Command {
	var cfg work.SlopeConfig
	names := strings.Join(work.Slopes(), ", ")
	cmd := &cobra.Command{
		Use: "work SLOPE", Short: "Measure what queries cost one gatherer process, against their size: " + names,
		Long: "Starts one gatherer and, in another process, a hollow fleet of workers, asks queries of it at four sizes or more, and tells processor time, bytes,\n" +
			"messages and memory of each size, with the line through them by least squares and what it misses. Nothing outlasts it.",
		Example: "  saffronquay scale work parts\n  saffronquay scale work rest --for 20s", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, words []string) error {
			if !slices.Contains(work.Slopes(), words[0]) {
				return fmt.Errorf("there is no slope %q; there are %s", words[0], names)
			}
			var err error
			if cfg.Program.File, err = os.Executable(); err != nil {
				return failed(err)
			}
			path := strings.Fields(cmd.CommandPath()) // the other command stands beside this one
			cfg.Program.Hollow = append(path[1:len(path)-1:len(path)-1], "workers")
			cfg.Say = func(format string, args ...any) { fmt.Fprintf(c.errs, format+"\n", args...) }
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
	f.DurationVar(&cfg.For, "for", 8*time.Second, "how long each size is measured")
	f.IntVar(&cfg.Cores, "cores", 1, "cores that the gatherer may keep busy at a time; 0: all")
	f.IntVar(&cfg.Workers, "workers", 2600, "how many workers, where the slope is not over them")
	f.IntVar(&cfg.Parts, "parts", 1500, "parts a query, where the slope is not over them")
	f.DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "between a call and its answer at a worker, on average")
	return cmd
}
