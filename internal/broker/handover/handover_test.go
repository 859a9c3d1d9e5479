package handover

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var completeState = State{
	Name: "n0", Since: 1_780_000_000_000_000, At: 1_790_000_000_123_456, Standby: true, Sockets: 120, Open: 14, Labels: map[string]int64{"a\"b": 1_790_000_001_000_000},
	Admission: 0.75, Suspects: map[string]int64{"k1": 1_790_000_000_000_000}, Discovery: "127.0.0.1:8500", Generation: 43,
	List: []byte(`{"generation":43,"instances":[]}`),
}

// Parse returns what Append wrote, and an error for any damaged text.
func TestState_RoundTrip(t *testing.T) {
	text := completeState.Append(nil)
	got, err := Parse(text)
	if err != nil || !reflect.DeepEqual(got, completeState) {
		t.Fatalf("got %+v, %v", got, err)
	}
	for i := range text {
		if _, err := Parse(text[:i]); err == nil {
			t.Errorf("Parse accepted a state truncated to %d of %d bytes", i, len(text))
		}
	}
	for _, c := range [][2]string{
		{`"v":1`, `"v":2`},
		{`"at":`, `"when":`},
		{`"open":14`, `"open":-1`},
		{`"open":14`, `"open":"14"`},
		{`"labels":{`, `"labels":7,"x":{`},
		{`"generation":43,"list"`, `"generation":1e300,"list"`},
	} {
		bad := strings.Replace(string(text), c[0], c[1], 1)
		if _, err := Parse([]byte(bad)); err == nil || bad == string(text) {
			t.Errorf("Parse accepted a state with %s replaced by %s", c[0], c[1])
		}
	}
	if completeState.IsFresh(completeState.At+StaleAfter) || !completeState.IsFresh(completeState.At+StaleAfter-1) || completeState.IsFresh(completeState.At-StaleAfter) {
		t.Error("IsFresh does not hold exactly within StaleAfter of the time of the state")
	}
}

// The size of a state is bounded for any number of suspects; the latest are written.
func TestStateAppend_LimitsSuspects(t *testing.T) {
	s := State{Suspects: map[string]int64{}}
	for i := range 10_000 {
		s.Suspects[fmt.Sprint("key", i)] = int64(i)
	}
	got, err := Parse(s.Append(nil))
	if err != nil || len(got.Suspects) != maxSuspects || got.Suspects["key9999"] != 9999 {
		t.Errorf("%d suspects, error %v", len(got.Suspects), err)
	}
}

// FuzzParse checks that Parse reads any bytes without a panic, and returns values in range.
func FuzzParse(f *testing.F) {
	f.Add(completeState.Append(nil))
	f.Add([]byte(`{"v":1,"labels":{"a":[]},"suspects":{"b":null}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse(b); err == nil && (s.Open < 0 || s.Sockets < 0 || s.Admission < 0 || s.Admission > 1) {
			t.Errorf("value out of range: %+v", s)
		}
	})
}

// A process that shuts down may write its state later than its successor; the successor's state is
// the newest.
func TestNewest(t *testing.T) {
	s, ok := Newest([]State{{Since: 5, At: 30}, {Since: 20, At: 25, Standby: true}, {Since: 1, At: 31}})
	if !ok || !s.Standby {
		t.Errorf("Newest returned %+v, %t", s, ok)
	}
	if _, ok := Newest(nil); ok {
		t.Error("Newest found a state in an empty list")
	}
}
