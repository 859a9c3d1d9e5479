package simulation

import (
	"fmt"
	"net/http"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/rpc"
)

const (
	operatorTimeoutMS = 1000 // timeout after which an operator calls another controller
	orderIntervalMS   = 350  // mean interval between two orders of an operator
	readRetryMS       = 100
	maxVersionStep    = 3 // maximum difference between the versions of two orders

	// Each event has probability 1/chance.
	repeatOrderChance        = 6 // an acknowledged order is sent again
	readChance               = 5
	patchChance              = 3
	operatorAnswerLossChance = 6
)

// operator sends orders for new configurations and reads the configuration, one request at a time. It
// retries each request until it has a definite answer.
type operator struct {
	world        *world
	name         string
	knownVersion uint64                // version that it believes to be the current one
	count        int                   // number of its requests
	acknowledged []*configurationOrder // some of them are sent again
}

// configurationOrder is an order for a new configuration, with all its retries.
type configurationOrder struct {
	name          string
	base, version uint64 // the order replaces version base by version
	body          []byte // the complete document, or a patch
	patch         bool
	acknowledged  bool
}

// nextOrder sends a new order, sends an acknowledged one again as if its answer had been lost, or reads
// the configuration.
func (o *operator) nextOrder() {
	w := o.world
	if w.now > w.endAt-quietMS {
		return
	}
	switch {
	case len(o.acknowledged) > 0 && w.oneIn(repeatOrderChance):
		w.report.Repeated++
		o.sendOrder(o.acknowledged[w.random.IntN(len(o.acknowledged))], 0, o.scheduleNext)
	case w.oneIn(readChance):
		o.read(o.scheduleNext)
	default:
		o.count++
		order := &configurationOrder{name: fmt.Sprintf("%s/%d", o.name, o.count), base: o.knownVersion}
		order.version = order.base + uint64(1+w.random.IntN(maxVersionStep))
		order.patch = order.base > 0 && w.oneIn(patchChance)
		order.body = orderBody(order)
		w.history.begin(order.name, w.now, order)
		o.sendOrder(order, 0, o.scheduleNext)
	}
}

// scheduleNext schedules the next request.
func (o *operator) scheduleNext() {
	o.world.schedule(o.world.randomBetween(20, 2*orderIntervalMS), o.nextOrder)
}

// orderBody returns a configuration with one service that is named after the order, or a patch that
// adds such a service.
func orderBody(o *configurationOrder) []byte {
	if o.patch {
		return fmt.Appendf(nil, `{"version":%d,"upsert":{"services":[{"name":%q}]}}`, o.version, o.name)
	}
	const document = `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":5,"service":%q}],"services":[{"name":%q}]}`
	return fmt.Appendf(nil, document, o.version, o.name, o.name)
}

// sendOrder sends an order until it has a definite answer, and then calls done. The refusal of an order
// that was acknowledged before is a violation.
func (o *operator) sendOrder(order *configurationOrder, attempts int, done func()) {
	w := o.world
	if w.now > w.endAt-quietMS/2 {
		return // the order has no definite answer
	}
	to := w.randomMachineOf(controllerKind)
	call(w, o.name, to, operatorTimeoutMS, func(answer func(int)) { to.replaceConfiguration(order, answer) }, func(status int, ok bool) {
		if ok && w.oneIn(operatorAnswerLossChance) {
			ok = false
		}
		switch {
		case !ok || status >= http.StatusInternalServerError:
			w.schedule(int64(50)<<min(attempts, 4), func() { o.sendOrder(order, attempts+1, done) })
			return
		case status == http.StatusOK:
			o.recordAcknowledged(order)
		case order.acknowledged:
			w.reportViolation(Refused, "%s was acknowledged, and refused with %d when it was sent again", order.name, status)
		default:
			w.report.Refused++
			w.history.end(order.name, w.now, refused)
			o.read(done) // updates knownVersion
			return
		}
		done()
	})
}

// recordAcknowledged records the first acknowledgement of an order, and checks that no other order was
// acknowledged for the same version.
func (o *operator) recordAcknowledged(order *configurationOrder) {
	w := o.world
	if order.acknowledged {
		return
	}
	order.acknowledged = true
	w.report.Orders++
	if other, taken := w.acknowledgedOrders[order.version]; taken && other != order.name {
		w.reportViolation(ConflictingOrders, "%s and %s were both acknowledged under %d", other, order.name, order.version)
	}
	w.acknowledgedOrders[order.version] = order.name
	w.history.end(order.name, w.now, accepted)
	w.history.recordAcknowledged(order.version, w.now)
	o.acknowledged = append(o.acknowledged, order)
	o.knownVersion = max(o.knownVersion, order.version)
}

// read reads the configuration, and then calls done.
func (o *operator) read(done func()) {
	w := o.world
	o.count++
	name := fmt.Sprintf("%s/%d", o.name, o.count)
	w.history.begin(name, w.now, nil)
	o.attemptRead(name, done)
}

// attemptRead reads the configuration at random controllers until one answers.
func (o *operator) attemptRead(name string, done func()) {
	w := o.world
	if w.now > w.endAt-quietMS/2 {
		return
	}
	to := w.randomMachineOf(controllerKind)
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}}
	call(w, o.name, to, operatorTimeoutMS, func(answer func(*rpc.DirectoryResult)) { to.decideDirectory(command, answer) }, func(result *rpc.DirectoryResult, ok bool) {
		if !ok || result == nil {
			w.schedule(readRetryMS, func() { o.attemptRead(name, done) })
			return
		}
		w.report.Reads++
		body, err := compression.Documents.Decompress(result.Configuration)
		if err != nil {
			panic(err) // cannot fail: the directory has compressed the data
		}
		o.knownVersion = max(o.knownVersion, w.history.read(name, w.now, body))
		done()
	})
}
