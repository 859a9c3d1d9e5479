package dayreport

import (
	"cmp"
	"math"
	"slices"
)

// Loss is the reduction of a day's worth by one component or charge.
type Loss struct {
	Name   string
	Amount float64 // fraction that was not earned, or amount that was charged
	Cost   float64 // in units of the worth
	Bound  float64 // part of Cost that no decision can avoid; NaN if unknown
}

// minReportedCost is the cost below which a loss is omitted.
const minReportedCost = 0.0002

// Names in reports: the charges whose bounds can be derived from a report, and the class of the
// machines that carry traffic.
const (
	chargeMachineSeconds = "machine-seconds"
	chargeLoads          = "loads of weights"
	chargeOrders         = "orders"
	frontClass           = "front"
)

// Losses returns the losses of a day, sorted by descending cost. tolerance is the number of machines
// with a disk that may fail at the same time; it determines how many machines are needed.
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

// lowerBound returns the part of a charge that no decision can avoid, or NaN if it is unknown.
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

// chargedAmount returns the amount of a charge, or 0 if the report has no charge of that name.
func (r *Report) chargedAmount(name string) float64 {
	for _, c := range r.Charges {
		if c.Name == name {
			return c.Amount
		}
	}
	return 0
}

// countMachines returns the number of machines that were used, and the number that is needed: all that
// carry traffic, and of each other class the size of a replica group that tolerates the loss of
// tolerance machines.
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
