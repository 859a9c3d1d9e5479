package dayreport

import (
	"cmp"
	"math"
	"slices"
)

// Loss is one cause for which a day lost value.
type Loss struct {
	Name   string
	Amount float64 // fraction that was not earned, or amount that was charged
	Cost   float64 // in units of the score
	Bound  float64 // part of Cost that no decision can avoid; NaN where that is not known
}

// minReportedCost is the cost below which a loss is left out.
const minReportedCost = 0.0002

// The charges whose bounds follow from a report, and the class of the machines that carry traffic, as reports name them.
const (
	chargeMachineSeconds = "machine-seconds"
	chargeLoads          = "loads of weights"
	chargeOrders         = "orders"
	frontClass           = "front"
)

// Losses returns the losses of a day, the greatest first. tolerance is how many machines with a disk may fail at the same time: it decides how
// many machines are necessary.
func (r *Report) Losses(tolerance int) []Loss {
	var losses []Loss
	for _, c := range r.Components {
		losses = append(losses, Loss{Name: c.Name, Amount: 1 - c.Earned, Cost: c.Weight * (1 - c.Earned), Bound: math.NaN()})
	}
	for _, c := range r.Charges {
		losses = append(losses, Loss{Name: c.Name, Amount: c.Amount, Cost: c.Cost, Bound: r.lowerBound(c, tolerance)})
	}
	losses = slices.DeleteFunc(losses, func(l Loss) bool { return l.Cost < minReportedCost })
	slices.SortStableFunc(losses, func(a, b Loss) int { return cmp.Compare(b.Cost, a.Cost) })
	return losses
}

// lowerBound returns the part of a charge that no decision can avoid; NaN where that is not known.
func (r *Report) lowerBound(c Charge, tolerance int) float64 {
	switch c.Name {
	case chargeMachineSeconds:
		used, needed := r.countMachines(tolerance)
		return c.Cost * float64(needed) / float64(max(used, 1))
	case chargeLoads:
		return 0 // a trainer's share of the workers may load each version free of charge
	case chargeOrders:
		return c.Cost * max(0, c.Amount-r.chargedAmount(chargeLoads)) / max(c.Amount, 1)
	}
	return math.NaN()
}

// chargedAmount returns the amount of a charge; 0 where the report has none of that name.
func (r *Report) chargedAmount(name string) float64 {
	for _, c := range r.Charges {
		if c.Name == name {
			return c.Amount
		}
	}
	return 0
}

// countMachines returns how many machines were used, and how many of them are necessary: those that carry traffic, and of each other class as
// many as a replica group has that survives the loss of tolerance machines.
func (r *Report) countMachines(tolerance int) (used, needed int) {
	byClass := map[string]int{} // a machine may run several roles
	for _, role := range r.Roles {
		byClass[role.Class] = max(byClass[role.Class], role.Machines)
	}
	for class, n := range byClass {
		used += n
		if class == frontClass {
			needed += n
		} else {
			needed += min(n, 2*tolerance+1)
		}
	}
	return used, needed
}
