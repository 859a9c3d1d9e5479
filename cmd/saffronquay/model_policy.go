package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	changes "saffronquay/internal/cluster/rollout/simulation"
)

// Intervals of a simulated run of policy changes, in microseconds.
const (
	simulatedStart           = 1_000_000 // time of the earliest proposal
	simulatedProposeInterval = 1_000_000
	simulatedQueryInterval   = 20_000
)

// modelPolicyCommand returns the command that simulates policy changes in virtual time.
func (c *cli) modelPolicyCommand() *cobra.Command {
	var cfg changes.Config
	var length time.Duration
	cmd := &cobra.Command{
		Use: "policy", Short: "Simulate changes of policy in virtual time, under seeded faults", Args: cobra.NoArgs,
		Long: "Simulates the agreement on versions of the policy, with disks, clocks and faults, and checks every admitted query. Faults end at 60 % of the\n" +
			"length. Exits with 1 if two versions were served at once, or if a change was lost, resurrected or stuck.",
		Example: "  saffronquay model policy --voters 5 --others 20 --faults 10 --seed 7",
		RunE:    func(*cobra.Command, []string) error { return c.runModelPolicy(cfg, length) },
	}
	f := cmd.Flags()
	f.IntVar(&cfg.Voters, "voters", 5, "number of voters")
	f.IntVar(&cfg.Others, "others", 20, "number of gatherers that don't vote")
	f.IntVar(&cfg.Faults, "faults", 10, "number of faults: kills, stops, partitions, full disks, delayed messages")
	f.IntVar(&cfg.Down, "down", 0, "number of gatherers, counted from the last, that are down from second 1 on")
	f.Float64Var(&cfg.Loss, "loss", 0, "fraction of messages that are lost")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the run, which is deterministic")
	f.DurationVar(&length, "length", 20*time.Second, "length of the run, in virtual time")
	return cmd
}

func validateModelPolicy(cfg changes.Config, length time.Duration) error {
	total := cfg.Voters + cfg.Others
	badMembers := cfg.Voters < 1 || cfg.Voters > 7 || cfg.Others < 0 || total > 1000
	badDown := cfg.Down < 0 || cfg.Down >= total
	badLoss := cfg.Loss < 0 || cfg.Loss >= 1
	badLength := length < 5*time.Second || length > time.Hour
	if badMembers || badDown || badLoss || badLength || cfg.Faults < 0 {
		return errors.New("model policy flags out of range: want 1 to 7 voters, up to 1000 gatherers, --down 0 to under their number, --loss 0 to under 1, --length 5s to 1h, and --others and --faults 0 or more")
	}
	return nil
}

// runModelPolicy runs the simulation and prints its result. It ends with exitFailed if a run
// without members that are down violates a guarantee.
func (c *cli) runModelPolicy(cfg changes.Config, length time.Duration) error {
	if err := validateModelPolicy(cfg, length); err != nil {
		return err
	}
	cfg.Length = length.Microseconds()
	cfg.FaultsEnd = cfg.Length * 6 / 10
	cfg.ProposeInterval, cfg.QueryInterval, cfg.StartAt = simulatedProposeInterval, simulatedQueryInterval, simulatedStart
	result, err := changes.Run(cfg)
	if err != nil {
		return failed(err)
	}
	if err := c.printModelPolicy(result); err != nil {
		return err
	}
	if result.HasViolations() && cfg.Down == 0 {
		return failed(errors.New(result.FirstViolation))
	}
	return nil
}

func (c *cli) printModelPolicy(r changes.Result) error {
	pauseMs, changeMs := quantile(r.Pauses, 0.99)/1000, quantile(r.ChangeTimes, 0.99)/1000
	summary := map[string]any{
		"changes": r.Changes, "in_force": r.InForce, "aborted": r.Aborted, "mixed": r.Mixed, "lost": r.Lost, "resurrected": r.Resurrected, "stuck": r.Stuck,
		"hold_p99_ms": pauseMs, "took_p99_ms": changeMs, "reasons": r.AbortReasons,
	}
	return c.print(summary, func(w io.Writer) {
		for _, reason := range slices.Sorted(maps.Keys(r.AbortReasons)) {
			fmt.Fprintf(w, "%4d not in force: %s\n", r.AbortReasons[reason], reason)
		}
		fmt.Fprintf(w, "changes=%d in_force=%d aborted=%d mixed=%d lost=%d resurrected=%d stuck=%d hold_p99_ms=%d took_p99_ms=%d\n", r.Changes, r.InForce, r.Aborted,
			r.Mixed, r.Lost, r.Resurrected, r.Stuck, pauseMs, changeMs)
	})
}

// quantile returns the value at rank q, from 0 to 1, of the sorted values, or 0 if there are none.
func quantile(values []int64, q float64) int64 {
	if len(values) == 0 {
		return 0
	}
	values = slices.Sorted(slices.Values(values))
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
