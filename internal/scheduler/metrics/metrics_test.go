package metrics

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestEndpoint_ExportsMetrics(t *testing.T) {
	is := is.New(t)
	cause := Label{"cause", `a "quoted" one`}
	t.Cleanup(func() { Unregister("test_total", cause) }) // so that a repeated run of the test starts at 0
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

// Only the first call for a phase counts, because later ones are not part of the startup.
func TestRecordStartPhase_FirstCallCounts(t *testing.T) {
	is := is.New(t)
	RecordStartPhase("test")
	first := Text()
	RecordStartPhase("test")
	is.Equal(Text(), first)
	is.True(strings.Contains(first, `saffronquay_phase_seconds{phase="test"}`))
}

func TestParseEndpoint_Invalid(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "9464", "x/metrics", "0/metrics", "70000/m", "9464/"} {
		_, err := ParseEndpoint(text)
		is.True(err != nil)
	}
}

// BenchmarkCounters measures a counter that the caller keeps, a lookup by labels, and the export.
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
