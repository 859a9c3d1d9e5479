package merge

import "unsafe"

// arena copies bytes into strings, many strings to one allocation. A chunk stays in memory as long as any of its strings. The zero
// value is ready for use. It is not safe for concurrent use.
type arena struct{ chunk []byte }

// chunkSize is the least size of an allocation, in bytes.
const chunkSize = 2048

func (a *arena) string(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if cap(a.chunk)-len(a.chunk) < len(b) {
		a.chunk = make([]byte, 0, max(chunkSize, len(b)))
	}
	at := len(a.chunk)
	a.chunk = append(a.chunk, b...)
	return unsafe.String(&a.chunk[at], len(b)) // nothing writes there again
}
