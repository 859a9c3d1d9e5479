package simulation

import (
	"fmt"
	"math"
	"saffronquay/internal/scheduler/configuration"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records the operators' operations on the configuration for the linearizability check.
type history struct {
	operations   []*operation
	byName       map[string]*operation
	acknowledged []acknowledgedVersion
}

// acknowledgedVersion is an acknowledged version of the configuration.
type acknowledgedVersion struct {
	version uint64
	at      int64 // time of the acknowledgement in virtual milliseconds
}

// operation is an order with all its retries, or a read.
type operation struct {
	order    *configurationOrder // nil for a read
	from, to int64               // virtual milliseconds; to is math.MaxInt64 until there is a definite answer
	outcome  operationOutcome
	read     string // configuration that a read returned
}

// operationOutcome is the outcome of an operation as its operator knows it.
type operationOutcome uint8

const (
	unknown operationOutcome = iota
	accepted
	refused
)

// begin records the start of an order, or of a read if order is nil.
func (h *history) begin(name string, now int64, order *configurationOrder) {
	if h.byName == nil {
		h.byName = map[string]*operation{}
	}
	o := &operation{order: order, from: now, to: math.MaxInt64}
	h.byName[name] = o
	h.operations = append(h.operations, o)
}

// end records the first definite answer to an order.
func (h *history) end(name string, now int64, outcome operationOutcome) {
	o := h.byName[name]
	if o == nil || o.outcome != unknown {
		return
	}
	o.to, o.outcome = now, outcome
}

// read records the end of a read, and returns the version of the configuration, or 0 if there is none.
func (h *history) read(name string, now int64, body []byte) uint64 {
	o := h.byName[name]
	o.to, o.outcome, o.read = now, accepted, string(body)
	if len(body) == 0 {
		return 0
	}
	document, err := configuration.Parse(body)
	if err != nil {
		return 0
	}
	return document.Version
}

// recordAcknowledged records that an order for a version was acknowledged.
func (h *history) recordAcknowledged(version uint64, now int64) {
	h.acknowledged = append(h.acknowledged, acknowledgedVersion{version, now})
}

// newestAcknowledged returns the newest version that was acknowledged by a time, or 0 if there was
// none.
func (h *history) newestAcknowledged(at int64) (version uint64) {
	for _, a := range h.acknowledged {
		if a.at <= at {
			version = max(version, a.version)
		}
	}
	return version
}

// configurationState is a state of the sequential model.
type configurationState struct {
	version uint64
	body    string
}

// configurationRegister is the sequential model of the configuration.
var configurationRegister = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{configurationState{}} },
	Equal: func(a, b any) bool { return a == b },
	Step: func(state, input, _ any) []any {
		from, isState := state.(configurationState)
		o, isOperation := input.(*operation)
		if !isState || !isOperation {
			return nil // not reached: check passes these types only
		}
		return o.nextStates(from)
	},
}

// nextStates returns the possible states after an operation, or none if its outcome is not possible in
// this state. An order without a definite answer may or may not have taken effect.
func (o *operation) nextStates(from configurationState) (next []any) {
	if o.order == nil {
		if o.outcome == unknown || o.read == from.body {
			return []any{from}
		}
		return nil
	}
	if after, ok := from.apply(o.order); ok && o.outcome != refused {
		next = append(next, after)
	}
	if o.outcome == unknown || o.outcome == refused && from.version != o.order.base {
		next = append(next, from)
	}
	return next
}

// apply returns the state after an order. ok is false if the order's base is not the version of this
// state or its patch does not apply.
func (s configurationState) apply(o *configurationOrder) (configurationState, bool) {
	if s.version != o.base {
		return s, false
	}
	body := o.body
	if o.patch {
		changed, err := configuration.ApplyPatch([]byte(s.body), o.body)
		if err != nil {
			return s, false
		}
		body = changed
	}
	return configurationState{o.version, string(body)}, true
}

// checkTimeout bounds the real time of the linearizability check. A timeout counts as a violation.
const checkTimeout = 20 * time.Second

// check returns an error unless the operations are linearizable.
func (h *history) check() error {
	var list []porcupine.Operation
	for i, o := range h.operations {
		list = append(list, porcupine.Operation{ClientId: i, Input: o, Call: o.from, Output: nil, Return: o.to})
	}
	model := configurationRegister.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, list, checkTimeout); result != porcupine.Ok {
		return fmt.Errorf("the configuration's history of %d operations: %s", len(list), result)
	}
	return nil
}
