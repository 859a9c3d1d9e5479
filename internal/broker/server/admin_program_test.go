package server

import (
	"saffronquay/internal/broker/admission"
	"testing"

	"github.com/matryer/is"
)

// Each field of a team's line has the value of the counter that its name stands for.
func TestAppendTeam_FieldNames(t *testing.T) {
	is := is.New(t)
	status := admission.TeamStatus{
		Team: "estudio", Fraction: 0.25, Budget: 12.5, Limit: 80, Queued: 1, InFlight: 2, Ratio: 1.5,
		Usage: admission.Usage{
			Requested: 3, Started: 4, QueuedTotal: 5, RejectedBacklog: 6, RejectedQueueFull: 7, RejectedClass: 8, Expired: 9,
			Predicted: 10, Consumed: 11, Borrowed: 12, Attempts: 13,
		},
	}
	is.Equal(string(appendTeam(nil, status)), "team estudio share=0.2500 queued=1 out=2 asked=3 started=4 waited=5 ahead=6 full=7 class=8 expired=9 "+
		"predicted_us=10 took_us=11 lent_us=12 attempts=13 budget=12.50 limit=80 ratio=1.500\n")
}
