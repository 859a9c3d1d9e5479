package metrics

import (
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// prefix is the prefix of all metric names.
const prefix = "saffronquay_"

// Label is a label of a metric.
type Label struct{ Name, Value string }

// series returns the full name of a metric, with its labels.
func series(name string, labels []Label) string {
	if len(labels) == 0 {
		return prefix + name
	}
	parts := make([]string, 0, len(labels))
	for _, l := range labels {
		parts = append(parts, l.Name+"="+strconv.Quote(l.Value))
	}
	return prefix + name + "{" + strings.Join(parts, ",") + "}"
}

// Counter returns the counter with a name and labels. The same arguments in the same order return the
// same counter.
func Counter(name string, labels ...Label) *metrics.Counter {
	return metrics.GetOrCreateCounter(series(name, labels))
}

// CountPanic counts a panic that was recovered; where names the call, request, item or order that
// panicked. Each panic is a programming error.
func CountPanic(where string) { Counter("panics_total", Label{"where", where}).Inc() }

// Unregister removes the metric with a name and labels from the export. A counter that a caller has
// kept still works but is no longer exported.
func Unregister(name string, labels ...Label) {
	metrics.UnregisterMetric(series(name, labels))
}

// DurationHistogram returns the histogram with a name and labels, whose values are seconds. The same
// arguments in the same order return the same histogram.
func DurationHistogram(name string, labels ...Label) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(series(name, labels))
}

// GaugeFunc registers a gauge whose value is computed at each export. value must be safe for concurrent
// use. A second call with the same name and labels has no effect.
func GaugeFunc(name string, value func() float64, labels ...Label) {
	metrics.GetOrCreateGauge(series(name, labels), value)
}

var processStart = time.Now()

// RecordStartPhase sets the gauge phase_seconds of a phase of the process's startup to the seconds
// since the process started. Only the first call for a phase has an effect.
func RecordStartPhase(name string) {
	gauge := metrics.GetOrCreateGauge(series("phase_seconds", []Label{{"phase", name}}), nil)
	if gauge.Get() == 0 {
		gauge.Set(time.Since(processStart).Seconds())
	}
}

// Text returns all metrics in the Prometheus text format, except those of the Go runtime and the
// operating system. It is meant for logs.
func Text() string {
	var b strings.Builder
	metrics.WritePrometheus(&b, false)
	return b.String()
}
