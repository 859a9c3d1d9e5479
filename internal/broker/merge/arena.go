package merge

import "unsafe"

// arena makes strings of bytes that will change, a chunk at a time: one allocation for many. A chunk lives as long as any of its
// strings. The zero value is empty.
type arena struct{ chunk []byte }

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
