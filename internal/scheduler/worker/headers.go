package worker

import "strings"

// IsReserved reports whether a header field of a client's request or of a trainer's item is not sent
// to workers: hop-by-hop fields, and fields that only the scheduler may send.
func IsReserved(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "host", "expect", "request-id", "deadline-ms", "expect-instance", "priority", "expect-version":
		return true
	}
	return false
}

// SetHeader returns a copy of headers in which the field has this value only: fields with the same
// name in any case are replaced.
func SetHeader(headers []Header, name, value string) []Header {
	changed := make([]Header, 0, len(headers)+1)
	for _, h := range headers {
		if !strings.EqualFold(h.Name, name) {
			changed = append(changed, h)
		}
	}
	return append(changed, Header{Name: name, Value: value})
}
