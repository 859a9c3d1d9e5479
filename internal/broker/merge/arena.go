package merge

import "unsafe"

// arena copies bytes into strings, with many strings per allocation. A chunk stays in memory as
// long as any of its strings is referenced. The zero value is ready for use. An arena is not safe
// for concurrent use.
type arena struct{ chunk []byte }

// chunkBytes is the minimum size of an allocation.
const chunkBytes = 2048

func (a *arena) string(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if cap(a.chunk)-len(a.chunk) < len(b) {
		a.chunk = make([]byte, 0, max(chunkBytes, len(b)))
	}
	at := len(a.chunk)
	a.chunk = append(a.chunk, b...)
	return unsafe.String(&a.chunk[at], len(b)) // these bytes are never written again
}
