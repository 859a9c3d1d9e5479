package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/spf13/cobra"
)

// trial holds the flags of the command try.
type trial struct {
	kill, slow, split, policy bool
	length                    time.Duration // 0: until interrupted
	rate                      int           // queries per second
	listen                    string
	seed                      uint64
	gatherers                 int
}

// tryCommand returns the command that runs gatherers on loopback in front of fake backends.
func (c *cli) tryCommand() *cobra.Command {
	t := trial{}
	cmd := &cobra.Command{
		Use: "try", Short: "Run a demo on loopback with stand-in search servers, seeded data and optional faults", Args: cobra.NoArgs,
		Long: "try starts five stand-in servers with 1,000 invoices each in four ranges of two copies, a gatherer in front of them, and a small load.\n" +
			"It prints the addresses and, every second, the outcome of the load. With --kill, --slow and --split it injects faults from second 3 on.",
		Example: "  saffronquay try\n  saffronquay try --kill --split --for 20s",
		RunE:    func(cmd *cobra.Command, _ []string) error { return c.runTrial(cmd.Context(), t) },
	}
	f := cmd.Flags()
	f.BoolVar(&t.kill, "kill", false, "kill a server, and restart it 5 s later")
	f.BoolVar(&t.slow, "slow", false, "make a server unresponsive for 5 s")
	f.BoolVar(&t.split, "split", false, "split a range while queries run")
	f.DurationVar(&t.length, "for", 0, "how long to run; 0: until Ctrl-C")
	f.IntVar(&t.rate, "rate", 50, "load in queries per second, 0 to 1000")
	f.StringVar(&t.listen, "listen", "127.0.0.1:0", "host:port for clients")
	f.BoolVar(&t.policy, "policy", false, "with 3, 5 or 7 gatherers: have them agree on versions of the policy, and change it twice, once while one of them is down")
	f.IntVar(&t.gatherers, "gatherers", 1, "number of gatherers, 1 to 9, which form a fleet; with --kill one of them is stopped and restarted")
	f.Uint64Var(&t.seed, "seed", 1, "seed of the data and the load")
	return cmd
}

func (t trial) validate() error {
	if t.rate < 0 || t.rate > 1000 || t.length < 0 || t.gatherers < 1 || t.gatherers > 9 {
		return errors.New("try flags out of range: --rate: want 0 to 1000; --for: want 0 or more; --gatherers: want 1 to 9")
	}
	if t.policy && (t.gatherers%2 == 0 || t.gatherers < 3 || t.gatherers > 7) {
		return errors.New("--policy: invalid number of gatherers: want --gatherers 3, 5 or 7")
	}
	return nil
}

// runTrial starts backends and gatherers, applies load and faults, and finally prints how often the
// backends executed parts.
func (c *cli) runTrial(ctx context.Context, t trial) error {
	if err := t.validate(); err != nil {
		return err
	}
	backends, file, err := t.startCluster()
	if err != nil {
		return unreachable(err)
	}
	defer backends.Close()
	log, _ := newLog(c.errs, "text", slog.LevelWarn)
	fleet := &trialFleet{trial: t, file: file, log: log}
	// After an early return, whose error is the more useful one. On success all are stopped
	// already.
	defer func() { _ = fleet.stopAll() }()
	for range t.gatherers {
		if err := fleet.start(ctx, len(fleet.running)); err != nil {
			return failed(err)
		}
	}
	c.printGreeting(fleet)
	ctx, stop := interrupted(ctx, t.length)
	defer stop()
	faults := &trialFaults{trial: t, out: c.out, backends: backends, fleet: fleet}
	// Not waited for: a policy change may outlast ctx. After stopAll it cannot start a gatherer.
	go faults.run(ctx)
	load := &trialLoad{trial: t, out: c.out, url: "http://" + fleet.running[0].ClientAddress() + "/invoices/_search"}
	load.run(ctx, func() {
		if t.gatherers > 1 {
			fleet.printViews(c.out)
		}
	})
	err = fleet.stopAll()
	runs, twice, astray := backends.Ledger.Counts()
	fmt.Fprintf(c.out, "the servers' ledger: %d parts run, %d filings run twice, %d run where they were not held; %d filings without X-Opaque-Id not checked\n",
		runs, twice, astray, backends.Ledger.RunsWithoutID())
	if err != nil {
		return failed(err)
	}
	return nil
}

// printGreeting prints the addresses of the first gatherer, and commands to try.
func (c *cli) printGreeting(fleet *trialFleet) {
	first := fleet.running[0]
	fmt.Fprintf(c.out, `a gatherer serves at %[1]s, its admin endpoint is at %[2]s; in another shell:

  curl -s http://%[1]s/invoices/_search -d '{"query":{"range":{"taxpayer":{"gte":900,"lt":1100}}},"size":3}'
  curl -s http://%[1]s/invoices/_search -d '{"size":0,"aggs":{"by":{"histogram":{"field":"taxpayer","interval":1000}}}}'
  curl -s http://%[1]s/filings/_search -d '{"query":{"term":{"taxpayer":7}}}'

  saffronquay status --door %[2]s        saffronquay layout show --door %[2]s

`, first.ClientAddress(), first.AdminAddress())
	if fleet.gatherers > 1 {
		fmt.Fprintf(c.out, "  saffronquay fleet --watch --door %s\n\n", first.AdminAddress())
	}
}
