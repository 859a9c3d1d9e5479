package platform

import (
	"math"
	"strconv"
	"strings"

	sq "saffronquay"
)

// maxReported is more than any value of a load report can be.
const maxReported = 1e9

// notReported stands in a load report for a value that the worker did not send.
const notReported = -1

// parseReport reads a load report, such as inflight=7,util=0.61, and skips unknown keys. Workers name a value as the settings do in
// telemetry.fields (backlog) or as the protocol page's example does (inflight); both count. It returns nil for a report that is malformed
// or has no known key: a value such as NaN would stay in every mean that it enters.
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
