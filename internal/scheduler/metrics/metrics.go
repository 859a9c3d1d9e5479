// Package metrics counts what a process does and tells it in Prometheus' text format. Counting is lock-free and costs some nanoseconds; a
// counter takes memory once, with the first count.
package metrics

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// prefix stands before all names.
const prefix = "saffronquay_"

// Label is a dimension of a figure.
type Label struct{ Name, Value string }

// series is the full name of a figure.
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

// Counter returns the counter of a name and labels; the same one each time.
func Counter(name string, labels ...Label) *metrics.Counter {
	return metrics.GetOrCreateCounter(series(name, labels))
}

// Forget ends the figure of a name and labels.
func Unregister(name string, labels ...Label) {
	metrics.UnregisterMetric(series(name, labels))
}

// Durations returns the histogram of a name and labels, in seconds.
func DurationHistogram(name string, labels ...Label) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(series(name, labels))
}

// Gauge has a figure told that is worked out when it is asked for.
func GaugeFunc(name string, value func() float64, labels ...Label) {
	metrics.GetOrCreateGauge(series(name, labels), value)
}

var processStart = time.Now()

// Phase notes that a phase of this process's start is over, once: the seconds since the process began.
func RecordStartPhase(name string) {
	series := series("phase_seconds", []Label{{"phase", name}})
	if gauge := metrics.GetOrCreateGauge(series, nil); gauge.Get() == 0 {
		gauge.Set(time.Since(processStart).Seconds())
	}
}

// Endpoint is where a process tells its figures.
type Endpoint struct {
	Port int
	Path string
}

// ParseEndpoint reads PORT/PATH, as deploy files have it.
func ParseEndpoint(text string) (e Endpoint, err error) {
	port, path, found := strings.Cut(text, "/")
	if e.Port, err = strconv.Atoi(port); err != nil || !found || path == "" || e.Port < 1 || e.Port > 65535 {
		return Endpoint{}, fmt.Errorf("metrics: want PORT/PATH, not %q", text)
	}
	e.Path = "/" + path
	return e, nil
}

const (
	readTimeout = 5 * time.Second
	readBuffer  = 1 << 10
	// connectionsMost bounds those who ask at once.
	maxConnections = 8
)

// Serve answers at an address of this machine until the process ends.
func (e Endpoint) Serve(ip string) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(e.Port)))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	server := &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, ReadTimeout: readTimeout, ReadBufferSize: readBuffer, Concurrency: maxConnections}
	go server.Serve(listener)
	return nil
}

func (e Endpoint) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != e.Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	metrics.WritePrometheus(ctx, true)
}

// Text is all figures but those of the process itself, for logs.
func Text() string {
	var b strings.Builder
	metrics.WritePrometheus(&b, false)
	return b.String()
}
