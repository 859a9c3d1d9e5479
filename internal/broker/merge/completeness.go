package merge

import "slices"

// CompletenessPolicy is what a class of queries demands of an answer. Weights of a query's parts add up to 1.
type CompletenessPolicy struct {
	CompleteWeight float64 // the least weight of an answer that is marked complete
	MinWeight      float64 // the least weight of an answer that may be given at all
}

// PartCoverage is the weight of one part, its place, and whether it was received.
type PartCoverage struct {
	Weight   float64
	Shard    int
	From, To int64 // of the range of routing keys; both 0 where shards have none
	Received bool
}

// Coverage says how much of a query was received.
type Coverage struct {
	Fraction   float64        // 0 to 1; exactly 1 if nothing is missing
	Missing    []PartCoverage // in order of shards
	Answerable bool           // an answer may be given
	Complete   bool           // it may be marked complete
}

// weightTolerance is how far the sum of weights may be off.
const weightTolerance = 0.0001

// Evaluate tells whether an answer may be given from the parts received, and whether it may be marked complete. Without a received part
// neither holds.
func (c CompletenessPolicy) Evaluate(parts []PartCoverage) Coverage {
	var e Coverage
	receivedAny := false
	for _, p := range parts {
		if p.Received {
			e.Fraction += p.Weight
			receivedAny = true
		} else {
			e.Missing = append(e.Missing, p)
		}
	}
	if len(e.Missing) == 0 {
		e.Fraction = 1
	}
	e.Answerable = receivedAny && (len(e.Missing) == 0 || e.Fraction >= c.MinWeight-weightTolerance)
	e.Complete = e.Answerable && (len(e.Missing) == 0 || e.Fraction >= c.CompleteWeight-weightTolerance)
	slices.SortFunc(e.Missing, func(a, b PartCoverage) int { return a.Shard - b.Shard })
	return e
}
