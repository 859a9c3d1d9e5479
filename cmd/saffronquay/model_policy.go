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
	simulatedStart           = 1_000_000 // when the first change may be proposed
	simulatedProposeInterval = 1_000_000
	simulatedQueryInterval   = 20_000
)

// modelPolicyCommand plays changes of the policy in virtual time.
func (c *cli) modelPolicyCommand() *cobra.Command {
	var cfg changes.Config
	var length time.Duration
	cmd := &cobra.Command{
		Use: "policy", Short: "Play changes of policy in virtual time, under faults by seed", Args: cobra.NoArgs,
		Long: "Plays the core that agrees on versions of the policy, with disks, clocks and faults, and judges every query that is let in. Faults are over\n" +
			"at six tenths of the length. Ends with 1 where two versions were mixed, or anything was lost, resurrected or stuck.",
		Example: "  saffronquay model policy --voters 5 --others 20 --faults 10 --seed 7",
		RunE:    func(*cobra.Command, []string) error { return c.runModelPolicy(cfg, length) },
	}
	f := cmd.Flags()
	f.IntVar(&cfg.Voters, "voters", 5, "how many vote")
	f.IntVar(&cfg.Others, "others", 20, "how many others there are")
	f.IntVar(&cfg.Faults, "faults", 10, "how many faults befall them: kills, stops, cuts, full disks, late words")
	f.IntVar(&cfg.Down, "down", 0, "so many of the last are down from the first second on")
	f.Float64Var(&cfg.Loss, "loss", 0, "share of messages that are lost")
	f.Uint64Var(&cfg.Seed, "seed", 1, "the same seed gives the same run")
	f.DurationVar(&length, "length", 20*time.Second, "how long, in virtual time")
	return cmd
}

func validateModelPolicy(cfg changes.Config, length time.Duration) error {
	total := cfg.Voters + cfg.Others
	badMembers := cfg.Voters < 1 || cfg.Voters > 7 || cfg.Others < 0 || total > 1000
	badDown := cfg.Down < 0 || cfg.Down >= total
	badLoss := cfg.Loss < 0 || cfg.Loss >= 1
	badLength := length < 5*time.Second || length > time.Hour
	if badMembers || badDown || badLoss || badLength || cfg.Faults < 0 {
		return errors.New("want 1 to 7 voters, up to 1000 gatherers, fewer down than there are, a loss of 0 to under 1, and a length of 5 s to 1 h")
	}
	return nil
}

// runModelPolicy ends with exitFailed where a run without members that are down breaks a guarantee.
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

// quantile returns the value at rank q, from 0 to 1, of the sorted values; 0 where there are none.
func quantile(values []int64, q float64) int64 {
	if len(values) == 0 {
		return 0
	}
	values = slices.Sorted(slices.Values(values))
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
