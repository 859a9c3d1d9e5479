package platform

import (
	"math"
	"strconv"
	"strings"

	sq "saffronquay"
)

// maxReported is a limit above any valid value in a load report.
const maxReported = 1e9

// notReported marks a value that the worker did not report.
const notReported = -1

// parseReport parses a load report such as inflight=7,util=0.61, and skips unknown keys. Workers
// use the names of telemetry.fields in the settings (backlog) or those of the protocol
// specification's example (inflight); both are accepted. It returns nil for a report that is
// malformed or has no known key. A value such as NaN would persist in every average that it enters.
func parseReport(text string) *sq.LoadReport {
	if text == "-" || text == "" {
		return nil
	}
	report := &sq.LoadReport{Queue: notReported, InFlight: notReported, Throughput: notReported, Utilization: notReported}
	known := false
	for rest, more := text, true; more; {
		var pair string
		pair, rest, more = strings.Cut(rest, ",")
		key, number, ok := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || math.IsNaN(v) || v < 0 || v > maxReported {
			return nil
		}
		switch key {
		case "backlog", "queue":
			report.Queue = v
		case "outstanding", "inflight":
			report.InFlight = v
		case "throughput", "qps":
			report.Throughput = v
		case "utilization", "util":
			report.Utilization = v
		default:
			continue
		}
		known = true
	}
	if !known {
		return nil
	}
	return report
}
