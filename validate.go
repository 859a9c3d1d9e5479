package saffronquay

import (
	"errors"
	"fmt"
)

// Validate tells what makes no sense in the settings.
func (c Settings) Validate() error {
	switch {
	case c.Aggregators < 1 || c.Self < 0 || c.Self >= c.Aggregators:
		return fmt.Errorf("aggregator %d of %d makes no sense", c.Self, c.Aggregators)
	case c.Period < 0:
		return errors.New("the period is negative")
	case c.Shards < 1 || c.Cells < 1 || c.Reach < 1:
		return fmt.Errorf("%d shards in %d cells, each held by %d, make no sense", c.Shards, c.Cells, c.Reach)
	case len(c.Classes) == 0:
		return errors.New("there are no classes")
	case c.CallOverhead < 0 || c.PartsPerCall < 0:
		return errors.New("a call has a negative overhead or number of parts")
	case c.Limits.MaxTries < 0 || c.Limits.MaxRetryAfter < 0:
		return errors.New("a limit is negative")
	}
	for _, k := range c.Tenants {
		if k.Quota < 0 {
			return fmt.Errorf("tenant %q has a share below nought", k.Name)
		}
	}
	if c.OverShareWorth < 0 {
		return errors.New("the worth beyond a tenant's share is negative")
	}
	r := c.Rules
	if r.AnswerGrace < 0 || r.DrainGrace < 0 || r.ColdShare < 0 || r.WarmWithin < 0 || r.FallMultiple < 0 ||
		r.FallWindow < 0 || r.AskWithin < 0 || r.FreeExtras < 0 || r.ExtraRatio < 0 || r.ExtraWindow < 0 {
		return errors.New("a figure of the rules is negative")
	}
	named := map[string]bool{}
	for _, k := range c.Classes {
		switch {
		case named[k.Name]:
			return fmt.Errorf("class %q is there twice", k.Name)
		case k.Aim < 0 || k.HardLimit <= 0 || k.RepeatWindow < 0 || k.AimStretch < 0:
			return fmt.Errorf("class %q has a time that makes no sense", k.Name)
		case k.Need < 0 || k.Need > 1 || k.Floor < 0 || k.Floor > 1 || k.Fetch < 0 || k.Worth < 0:
			return fmt.Errorf("class %q has a share, worth or number of parts that makes no sense", k.Name)
		}
		named[k.Name] = true
	}
	return nil
}
