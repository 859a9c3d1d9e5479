package panicguard

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// PanicError is a recovered panic.
type PanicError struct {
	Value any    // argument of panic
	Stack []byte // of the goroutine
}

// Error describes the panic without its stack. If the value is not a runtime error, only its type
// is named, since the value may contain client data.
func (p *PanicError) Error() string {
	if fault, ok := p.Value.(runtime.Error); ok {
		return "panic: " + fault.Error()
	}
	return fmt.Sprintf("panic with a %T", p.Value)
}

// Contain recovers a panic of the goroutine and passes it to onPanic; the function that deferred
// Contain then returns to its caller. It must be deferred directly: defer panicguard.Contain(f).
// It does nothing if there is no panic, including when runtime.Goexit ends the goroutine. A panic
// of onPanic itself is not recovered.
func Contain(onPanic func(*PanicError)) {
	if value := recover(); value != nil {
		onPanic(&PanicError{Value: value, Stack: debug.Stack()})
	}
}
