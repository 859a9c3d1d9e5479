package metrics

import (
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// prefix begins all names.
const prefix = "saffronquay_"

// Label is a dimension of a metric.
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

// Counter returns the counter of a name and labels. Equal arguments in the same order return the same counter.
func Counter(name string, labels ...Label) *metrics.Counter {
	return metrics.GetOrCreateCounter(series(name, labels))
}

// CountPanic counts a panic that was contained to the call, request, item or order that where names. Each is a fault of the program.
func CountPanic(where string) { Counter("panics_total", Label{"where", where}).Inc() }

// Unregister removes the metric of a name and labels from the export. A counter that a caller has kept counts on unseen.
func Unregister(name string, labels ...Label) {
	metrics.UnregisterMetric(series(name, labels))
}

// DurationHistogram returns the histogram of a name and labels, whose values are seconds. Equal arguments in the same order return the same
// histogram.
func DurationHistogram(name string, labels ...Label) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(series(name, labels))
}

// GaugeFunc registers a gauge whose value is computed with each export. value has to be safe for concurrent use. A second call for the same
// name and labels has no effect.
func GaugeFunc(name string, value func() float64, labels ...Label) {
	metrics.GetOrCreateGauge(series(name, labels), value)
}

var processStart = time.Now()

// RecordStartPhase sets the gauge phase_seconds of a phase of the process's start to the seconds since the process began. Only the first call
// for a phase has an effect.
func RecordStartPhase(name string) {
	gauge := metrics.GetOrCreateGauge(series("phase_seconds", []Label{{"phase", name}}), nil)
	if gauge.Get() == 0 {
		gauge.Set(time.Since(processStart).Seconds())
	}
}

// Text returns all metrics in Prometheus' text format, but for those of the Go runtime and the operating system. It is for logs.
func Text() string {
	var b strings.Builder
	metrics.WritePrometheus(&b, false)
	return b.String()
}
