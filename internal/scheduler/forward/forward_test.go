package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseSharedPrompt(t *testing.T) {
	is := is.New(t)
	is.Equal(ParseSharedPrompt("9c2e41:300,5d07b8:240"), "9c2e41")
	is.Equal(ParseSharedPrompt(" 9c2e41:300"), "9c2e41")
	is.Equal(ParseSharedPrompt(""), "")
}

func TestParseLoad(t *testing.T) {
	is := is.New(t)
	running, waiting, ok := parseLoad("3, 4,0.5")
	is.True(ok && running == 3 && waiting == 4)
	for _, broken := range []string{"", "3", "x,4", "3,y"} {
		_, _, ok = parseLoad(broken)
		is.True(!ok)
	}
}

// The header Deadline-Ms contains the time until the later of the two deadlines, so that a call
// that is sent again with the same WorkerDeadline gets no more time than the first.
func TestRequestWorkerDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	value := func(r *Request) (ms int) {
		for _, h := range r.headers("w") {
			if h.Name == "Deadline-Ms" {
				fmt.Sscan(h.Value, &ms)
			}
		}
		return ms
	}
	is.True(value(&Request{Deadline: now.Add(time.Second)}) <= 1000)
	got := value(&Request{Deadline: now.Add(time.Second), WorkerDeadline: now.Add(3 * time.Second)})
	is.True(got > 2000 && got <= 3000)
	is.True(value(&Request{Deadline: now.Add(3 * time.Second), WorkerDeadline: now.Add(time.Second)}) > 2000)
}
