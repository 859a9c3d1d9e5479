package dayreport

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const report = `{"G":0.93,"parts":[["whole day",0.4,0.99],["worst class",0.3,0.95]],
"prices":[["machine-seconds",760,0.019],["loads of weights",40,0.004],["orders",100,0.001],["duties missed",-0.0,-0.0],["GB between zones",0.5,0.008]],
"nodes":[{"role":"agent","class":"front","n":60,"cpu_mean":0.003},{"role":"proxy","class":"front","n":60},{"role":"steward","class":"core","n":5},{"role":"store","class":"store","n":11}],
"classes":[{"name":"a","n":10,"late":2,"refused":0,"failed":1,"worth":0.95},{"name":"b","n":5,"worth":1}],"services":[{"name":"pool","arrivals":9,"not_run":1}]}`

// Losses are sorted by cost, those without cost are omitted, and bounds are derived from the report.
func TestReport_Losses(t *testing.T) {
	is := is.New(t)
	r, err := Parse([]byte(report))
	is.NoErr(err)
	losses := r.Losses(2)
	is.Equal(losses[0].Name, "machine-seconds")
	is.True(math.Abs(losses[0].Bound-0.019*70/76) < 1e-9)
	is.Equal(losses[1].Name, "worst class")
	is.True(math.Abs(losses[1].Cost-0.015) < 1e-9)
	for _, l := range losses {
		switch l.Name {
		case "loads of weights":
			is.Equal(l.Bound, 0.0)
		case "orders":
			is.True(math.Abs(l.Bound-0.0006) < 1e-9)
		case "duties missed":
			t.Error("Losses has a charge without cost")
		}
	}
}

// Only classes with requests that were not served in time get a row.
func TestReport_WriteOmitsServedClasses(t *testing.T) {
	is := is.New(t)
	r, err := Parse([]byte(report))
	is.NoErr(err)
	var b strings.Builder
	is.NoErr(r.Write(&b, "a day", 2))
	is.True(strings.Contains(b.String(), "2 late, 0 refused, 1 failed of 10"))
	is.True(!strings.Contains(b.String(), "class b"))
}

// Text that is not JSON, or has no or malformed score components, is an error.
func TestParseReport_Invalid(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "{}", `{"parts":[["x",1]]}`, `{"parts":[[1,1,1]]}`} {
		_, err := Parse([]byte(text))
		is.True(err != nil)
	}
}
