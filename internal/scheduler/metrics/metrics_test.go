package metrics

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestMetricsAreExposed(t *testing.T) {
	is := is.New(t)
	cause := Label{"cause", `a "quoted" one`}
	t.Cleanup(func() { Unregister("test_total", cause) }) // the next run in the process begins at 0
	Counter("test_total", cause).Inc()
	Counter("test_total", cause).Inc()
	e, err := ParseEndpoint("9464/metrics")
	is.NoErr(err)
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/metrics")
	e.handle(ctx)
	is.True(strings.Contains(string(ctx.Response.Body()), `saffronquay_test_total{cause="a \"quoted\" one"} 2`))
	ctx.Request.SetRequestURI("/other")
	e.handle(ctx)
	is.Equal(ctx.Response.StatusCode(), fasthttp.StatusNotFound)
}

// Only the first call for a phase counts: what happens again later is no part of the start.
func TestStartPhaseIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	RecordStartPhase("test")
	first := Text()
	RecordStartPhase("test")
	is.Equal(Text(), first)
	is.True(strings.Contains(first, `saffronquay_phase_seconds{phase="test"}`))
}

func TestEndpointsThatAreNone(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "9464", "x/metrics", "0/metrics", "70000/m", "9464/"} {
		_, err := ParseEndpoint(text)
		is.True(err != nil)
	}
}

// BenchmarkCounters measures a counter that the caller keeps, one that is looked up by its labels, and the export.
func BenchmarkCounters(b *testing.B) {
	kept := Counter("bench_total")
	b.Run("kept", func(b *testing.B) {
		for b.Loop() {
			kept.Inc()
		}
	})
	b.Run("looked up", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Counter("bench_total", Label{"kind", "request"}, Label{"verdict", "served"}).Inc()
		}
	})
	b.Run("exported", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Text()
		}
	})
}
