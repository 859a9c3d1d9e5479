package config

import (
	"net/textproto"
	"path/filepath"
	"strings"
	"time"
)

// readStore reads the section store.
func readStore(r reader) *Store {
	r.require("directory")
	s := &Store{
		Retention: millis(r, "keep_ms", 900_000, 1000, 7*86_400_000), Takeover: millis(r, "takeover_ms", 10_000, 100, 600_000),
		KeyHeader: textproto.CanonicalMIMEHeaderKey(r.str("key_header", "Idempotency-Key")), MaxAnswer: r.count("max_answer_kb", 64) << 10,
		SegmentSize: int64(r.integer("segment_mb", 8)) << 20, NoGroupCommit: r.boolean("single"), StartWithout: r.boolean("without"),
	}
	s.Directories[0] = filepath.Clean(r.str("directory", ""))
	if s.Directories[1] = filepath.Join(s.Directories[0], "copy"); r.has("copy") {
		s.Directories[1] = filepath.Clean(r.str("copy", ""))
	}
	if s.Directories[0] == s.Directories[1] {
		r.fault("copy", "want another directory than %q: the second copy must survive the loss of the first", s.Directories[0])
	}
	if s.SegmentSize < 1<<20 || s.SegmentSize > 256<<20 {
		r.fault("segment_mb", "want 1 to 256, not %d", s.SegmentSize>>20)
	}
	if s.MaxAnswer < 0 || s.MaxAnswer > 1<<20 {
		r.fault("max_answer_kb", "want 0 to 1024, not %d", s.MaxAnswer>>10)
	}
	if s.KeyHeader == "" || strings.ContainsAny(s.KeyHeader, " :\r\n\t") {
		r.fault("key_header", "want the name of a header field, not %q", s.KeyHeader)
	}
	return s
}

// millis returns the duration of a key in milliseconds, def if the key is absent. A value out of
// the range from low to high is reported.
func millis(r reader, key string, def, low, high int64) time.Duration {
	n := r.integer(key, def)
	if n < low || n > high {
		r.fault(key, "want %d to %d, not %d", low, high, n)
	}
	return time.Duration(n) * time.Millisecond
}
