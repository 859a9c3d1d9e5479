package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/rpc"
)

const (
	operatorTimeoutMS = 1000 // after which an operator calls another controller
	orderPauseMS      = 350  // between two orders of an operator, on average
)

// operator sends orders for the configuration, one at a time, each until it has a clear answer.
type operator struct {
	world        *world
	name         string
	knownVersion uint64 // the version that it takes for current
	count        int
	acknowledged []*configurationOrder // that were acknowledged, to be sent again now and then
}

// configurationOrder is one order.
type configurationOrder struct {
	name          string
	base, version uint64
	body          []byte
	patch         bool
	begun         int64
	acknowledged  bool
}

func (o *operator) nextOrder() {
	w := o.world
	if w.now > w.end()-quietMS {
		return
	}
	switch {
	case len(o.acknowledged) > 0 && w.oneIn(6): // the answer to an earlier one was lost
		w.report.Repeated++
		o.sendOrder(o.acknowledged[w.random.IntN(len(o.acknowledged))], 0, o.scheduleNext)
	case w.oneIn(5):
		o.read(o.scheduleNext)
	default:
		o.count++
		order := &configurationOrder{name: fmt.Sprintf("%s/%d", o.name, o.count), base: o.knownVersion, version: o.knownVersion + uint64(1+w.random.IntN(3)), begun: w.now, patch: o.knownVersion > 0 && w.oneIn(3)}
		order.body = orderBody(order)
		w.history.begin(order.name, w.now, order)
		o.sendOrder(order, 0, o.scheduleNext)
	}
}

func (o *operator) scheduleNext() {
	o.world.schedule(o.world.randomBetween(20, 2*orderPauseMS), o.nextOrder)
}

func orderBody(o *configurationOrder) []byte {
	if o.patch {
		return fmt.Appendf(nil, `{"version":%d,"upsert":{"services":[{"name":%q}]}}`, o.version, o.name)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":5,"service":%q}],"services":[{"name":%q}]}`, o.version, o.name, o.name)
}

// send sends an order until it has a clear answer.
func (o *operator) sendOrder(order *configurationOrder, attempts int, done func()) {
	w := o.world
	if w.now > w.end()-quietMS/2 {
		return // it stays without a clear answer
	}
	to := w.randomController()
	call(w, o.name, to, operatorTimeoutMS, func(answer func(int)) { to.replaceConfiguration(order, answer) }, func(status int, ok bool) {
		if ok && w.oneIn(6) {
			ok = false // lost on its way
		}
		switch {
		case !ok || status >= 500:
			w.schedule(int64(50)<<min(attempts, 4), func() { o.sendOrder(order, attempts+1, done) })
			return
		case status == 200:
			o.recordAcknowledged(order)
		case order.acknowledged:
			w.reportViolation(Refused, "%s was acknowledged, and refused with %d when it was sent again", order.name, status)
		default:
			w.report.Refused++
			w.history.end(order.name, w.now, false)
			o.read(done) // which version is current then
			return
		}
		done()
	})
}

func (o *operator) recordAcknowledged(order *configurationOrder) {
	w := o.world
	if order.acknowledged {
		return
	}
	order.acknowledged = true
	w.report.Orders++
	if other, taken := w.acknowledgedOrders[order.version]; taken && other != order.name {
		w.reportViolation(TwoWinners, "%s and %s were both acknowledged under %d", other, order.name, order.version)
	}
	w.acknowledgedOrders[order.version] = order.name
	w.history.end(order.name, w.now, true)
	w.history.recordAcknowledged(order.version, w.now)
	o.acknowledged = append(o.acknowledged, order)
	o.knownVersion = max(o.knownVersion, order.version)
}

// read reads the configuration back.
func (o *operator) read(done func()) {
	w := o.world
	o.count++
	name := fmt.Sprintf("%s/%d", o.name, o.count)
	w.history.begin(name, w.now, nil)
	o.attemptRead(name, done)
}

func (o *operator) attemptRead(name string, done func()) {
	w := o.world
	if w.now > w.end()-quietMS/2 {
		return
	}
	to := w.randomController()
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}}
	call(w, o.name, to, operatorTimeoutMS, func(answer func(*rpc.DirectoryResult)) { to.decideDirectory(command, answer) }, func(result *rpc.DirectoryResult, ok bool) {
		if !ok || result == nil {
			w.schedule(100, func() { o.attemptRead(name, done) })
			return
		}
		w.report.Reads++
		body, err := compression.Documents.Decompress(result.Configuration)
		if err != nil {
			panic(err) // what the directory holds is whole
		}
		o.knownVersion = max(o.knownVersion, w.history.read(name, w.now, body))
		done()
	})
}
