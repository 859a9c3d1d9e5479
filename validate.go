package saffronquay

import (
	"errors"
	"fmt"
)

// Validate returns an error for the first invalid setting, or nil.
func (c Settings) Validate() error {
	switch {
	case c.Aggregators < 1 || c.Self < 0 || c.Self >= c.Aggregators:
		return fmt.Errorf("aggregator index %d is out of range for %d aggregators", c.Self, c.Aggregators)
	case c.Period < 0:
		return errors.New("period is negative")
	case c.Shards < 1 || c.Cells < 1 || c.CellsPerShard < 1:
		return fmt.Errorf("%d shards in %d cells, %d cells per shard: each must be at least 1", c.Shards, c.Cells, c.CellsPerShard)
	case len(c.Classes) == 0:
		return errors.New("no classes are defined, at least 1 is required")
	case c.CallOverhead < 0 || c.PartsPerCall < 0:
		return errors.New("call overhead or parts per call is negative")
	case c.Limits.MaxAttempts < 0 || c.Limits.MaxRetryAfter < 0:
		return errors.New("maximum attempts or maximum retry-after time is negative")
	}
	for _, k := range c.Tenants {
		if k.Quota < 0 {
			return fmt.Errorf("tenant %q has a negative quota", k.Name)
		}
	}
	if c.OverQuotaValue < 0 {
		return errors.New("value fraction over a tenant's quota is negative")
	}
	r := c.Rules
	if r.AnswerGrace < 0 || r.DrainGrace < 0 || r.SlowStartFraction < 0 || r.WarmUp < 0 || r.OverloadMultiple < 0 ||
		r.OverloadWindow < 0 || r.MembershipWithin < 0 || r.FreeExtraAttempts < 0 || r.ExtraAttemptRatio < 0 || r.ExtraAttemptWindow < 0 {
		return errors.New("a rule parameter is negative")
	}
	named := map[string]bool{}
	for _, k := range c.Classes {
		switch {
		case named[k.Name]:
			return fmt.Errorf("class %q is defined twice", k.Name)
		case k.LatencyTarget < 0 || k.HardLimit <= 0 || k.DedupWindow < 0 || k.LatencyTargetStretch < 0:
			return fmt.Errorf("class %q: latency target, hard limit or dedup window is out of range", k.Name)
		case k.CompleteWeight < 0 || k.CompleteWeight > 1 || k.MinWeight < 0 || k.MinWeight > 1 || k.SecondStepParts < 0 || k.Value < 0:
			return fmt.Errorf("class %q: weight, value or number of second-step parts is out of range", k.Name)
		}
		named[k.Name] = true
	}
	return nil
}
