package simulation

import (
	"fmt"
	"math"
	"saffronquay/internal/scheduler/configuration"
	"time"

	"github.com/anishathalye/porcupine"
)

// history is what operators have seen of the configuration.
type history struct {
	operations   []*operation
	byName       map[string]*operation
	acknowledged []acknowledgedVersion
}

type acknowledgedVersion struct {
	version uint64
	at      int64
}

// operation is an order with all its repetitions, or a read.
type operation struct {
	order    *configurationOrder // nil: a read
	from, to int64
	outcome  callOutcome
	read     string
}

type callOutcome uint8

const (
	unknown callOutcome = iota
	accepted
	refused
)

func (h *history) begin(name string, now int64, order *configurationOrder) {
	if h.byName == nil {
		h.byName = map[string]*operation{}
	}
	o := &operation{order: order, from: now, to: math.MaxInt64}
	h.byName[name] = o
	h.operations = append(h.operations, o)
}

func (h *history) end(name string, now int64, ok bool) {
	o := h.byName[name]
	if o == nil || o.outcome != unknown {
		return
	}
	if o.to, o.outcome = now, refused; ok {
		o.outcome = accepted
	}
}

// read ends a read and returns the version that it brought.
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

func (h *history) recordAcknowledged(version uint64, now int64) {
	h.acknowledged = append(h.acknowledged, acknowledgedVersion{version, now})
}

// ackedBy is the newest version that was acknowledged by a time.
func (h *history) newestAcknowledged(at int64) (version uint64) {
	for _, a := range h.acknowledged {
		if a.at <= at {
			version = max(version, a.version)
		}
	}
	return version
}

// configurationState is the state of the register that operators see.
type configurationState struct {
	version uint64
	body    string
}

// register says what an operation may do to the configuration.
var configurationRegister = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{configurationState{}} },
	Equal: func(a, b any) bool { return a == b },
	Step: func(state, input, _ any) []any {
		s, o := state.(configurationState), input.(*operation)
		if o.order == nil {
			if o.outcome == unknown || o.read == s.body {
				return []any{s}
			}
			return nil
		}
		var next []any
		if after, ok := s.apply(o.order); ok && o.outcome != refused {
			next = append(next, after)
		}
		if o.outcome == unknown || o.outcome == refused && s.version != o.order.base {
			next = append(next, s)
		}
		return next
	},
}

// take is the state after an order; false where the order doesn't build on this state.
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

const checkTimeout = 20 * time.Second

// check tells whether the operations have an order in which they make sense.
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
