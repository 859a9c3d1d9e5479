package weights

import (
	"testing"

	"github.com/matryer/is"
)

func TestDemandPeak(t *testing.T) {
	is := is.New(t)
	var d Demand
	d.Update(1000, "x", map[string]float64{"a": 30})
	d.Update(2000, "x", map[string]float64{"a": 5})
	d.Update(2000, "y", map[string]float64{"a": 7})
	is.Equal(d.Slots(3000, "a"), 37.0)
	d.Update(1000+peakWindowMS+1, "x", map[string]float64{"a": 5})
	is.Equal(d.Slots(1000+peakWindowMS+1, "a"), 12.0)
}
