package merge

import "slices"

// CompletenessPolicy states how much of a query an answer of its class has to cover. The weights of
// a query's parts add up to 1.
type CompletenessPolicy struct {
	CompleteWeight float64 // minimum weight of an answer that is marked complete
	MinWeight      float64 // minimum weight of an answer that may be returned
}

// PartCoverage is the weight of one part, its shard and keys, and whether it was received.
type PartCoverage struct {
	Weight   float64
	Shard    int
	From, To int64 // range of routing keys; both 0 if shards have none
	Received bool
}

// Coverage is how much of a query was received.
type Coverage struct {
	Fraction   float64        // 0 to 1; exactly 1 if nothing is missing
	Missing    []PartCoverage // sorted by shard
	Answerable bool           // an answer may be returned
	Complete   bool           // the answer may be marked complete
}

// weightTolerance is the accepted error of the sum of weights.
const weightTolerance = 0.0001

// Evaluate returns whether the received parts suffice for an answer, and whether that may be marked
// complete. Without a received part both are false.
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
