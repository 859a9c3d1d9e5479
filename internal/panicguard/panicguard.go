package panicguard

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// PanicError is a panic that was contained.
type PanicError struct {
	Value any    // what the code panicked with
	Stack []byte // of the goroutine
}

// Error describes the panic without its stack. Of a value that is no fault of the runtime only the type is named: it might hold data of a client.
func (p *PanicError) Error() string {
	if fault, ok := p.Value.(runtime.Error); ok {
		return "panic: " + fault.Error()
	}
	return fmt.Sprintf("panic with a %T", p.Value)
}

// Contain has to be deferred directly: defer panicguard.Contain(f). Where the goroutine panics, onPanic is called with the panic, and the function
// that deferred Contain returns to its caller. It does nothing where there is no panic, also when runtime.Goexit ends the goroutine. A panic of
// onPanic itself is not contained.
func Contain(onPanic func(*PanicError)) {
	if value := recover(); value != nil {
		onPanic(&PanicError{Value: value, Stack: debug.Stack()})
	}
}
