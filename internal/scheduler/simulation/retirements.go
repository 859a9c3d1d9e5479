package simulation

import (
	"net/http"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
)

const (
	maxRetirementMS    = 12_000 // time in which a machine must be emptied if there are no faults
	retirementRetryMS  = 150
	retirementPollMS   = 100
	retirementOperator = "operator0" // name of the client that retires machines
)

// retireStore retires a storage node by an operator's request, if there are more than a group needs
// and no other one is being retired. The emptied machine is removed with its disk; with
// loseAnother, another storage node loses its disk at that moment.
func (w *world) retireStore(loseAnother bool) {
	stores := w.machinesOf(storageKind)
	if len(stores) <= w.groupSize() || w.retiring != "" {
		return
	}
	m := stores[w.random.IntN(len(stores))]
	w.retiring = m.name
	w.report.Retirements++
	w.trace("%s is to be emptied", m.name)
	w.requestRetirement(m.name, loseAnother)
}

// requestRetirement sends the operator's request until it is accepted. A refusal is a violation,
// because retireStore has checked that there are enough storage nodes.
func (w *world) requestRetirement(node string, loseAnother bool) {
	to := w.randomMachineOf(controllerKind)
	call(w, retirementOperator, to, operatorTimeoutMS, func(answer func(int)) { to.handleRetirement(node, w.now+forwardTimeoutMS, answer) }, func(status int, ok bool) {
		switch {
		case !ok || status == http.StatusServiceUnavailable:
			w.schedule(retirementRetryMS, func() { w.requestRetirement(node, loseAnother) })
		case status == http.StatusOK:
			w.awaitRetirement(node, w.now, loseAnother)
		default:
			w.reportViolation(Refused, "%s refused with %d to have %s emptied", to.name, status, node)
		}
	})
}

// awaitRetirement removes a machine when its retirement is complete at the directory's leader. It
// checks that this takes at most maxRetirementMS, from since or the end of the last fault.
func (w *world) awaitRetirement(node string, since int64, loseAnother bool) {
	if w.isRetired(node) {
		w.removeRetired(node, loseAnother)
		return
	}
	if since = max(since, w.faultUntil); w.now-since > maxRetirementMS {
		w.reportViolation(Stuck, "%s is not emptied %d ms after that was asked: %s", node, maxRetirementMS, w.describeJobGroups())
	}
	w.schedule(retirementPollMS, func() { w.awaitRetirement(node, since, loseAnother) })
}

// isRetired reports whether a machine's retirement is complete at the directory's leader.
func (w *world) isRetired(node string) bool {
	for _, m := range w.machinesOf(controllerKind) {
		if m.up && m.hasLease(directory.Shard) && m.directory.Retirements()[node] {
			return true
		}
	}
	return false
}

// removeRetired removes an emptied machine with its disk, and schedules the start of an empty one at
// another address.
func (w *world) removeRetired(node string, loseAnother bool) {
	retired := w.machine(node)
	retired.up, retired.removed = false, true
	w.retiring = ""
	w.recordFault()
	w.trace("%s is emptied and taken away", node)
	if loseAnother && w.now >= w.faultUntil {
		w.loseDisk(w.randomMachineOf(storageKind))
	}
	w.addMachineLater(storageKind)
	w.extendFault(w.now + replaceDelayMS)
}

// describeJobGroups returns the status of the replicas of all batch job shards for the text of a
// violation.
func (w *world) describeJobGroups() (text string) {
	for n := range jobShards {
		name := batchjobs.ShardName(n)
		text += name + ": " + w.describe(name) + " "
	}
	return text
}
