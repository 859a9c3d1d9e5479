package handover

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var whole = State{
	Name: "n0", Since: 1_780_000_000_000_000, At: 1_790_000_000_123_456, Standby: true, Sockets: 120, Open: 14, Labels: map[string]int64{"a\"b": 1_790_000_001_000_000},
	Admission: 0.75, Suspects: map[string]int64{"k1": 1_790_000_000_000_000}, Discovery: "127.0.0.1:8500", Generation: 43,
	List: []byte(`{"generation":43,"instances":[]}`),
}

// What one process writes the other reads, whole or not at all.
func TestThereAndBack(t *testing.T) {
	text := whole.Append(nil)
	got, err := Parse(text)
	if err != nil || !reflect.DeepEqual(got, whole) {
		t.Fatalf("%+v %v", got, err)
	}
	for i := range text {
		if _, err := Parse(text[:i]); err == nil {
			t.Errorf("taken when cut off after %d of %d bytes", i, len(text))
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
			t.Errorf("%s -> %s was taken", c[0], c[1])
		}
	}
	if whole.IsFresh(whole.At+StaleAfter) || !whole.IsFresh(whole.At+StaleAfter-1) || whole.IsFresh(whole.At-StaleAfter) {
		t.Error("freshness")
	}
}

// However many keys are suspected, a state stays small, and the latest are told.
func TestStaysSmall(t *testing.T) {
	s := State{Suspects: map[string]int64{}}
	for i := range 10_000 {
		s.Suspects[fmt.Sprint("key", i)] = int64(i)
	}
	got, err := Parse(s.Append(nil))
	if err != nil || len(got.Suspects) != mostSuspects || got.Suspects["key9999"] != 9999 {
		t.Errorf("%d suspects, %v", len(got.Suspects), err)
	}
}

// Whatever lies in the directory, reading it does no harm.
func FuzzParse(f *testing.F) {
	f.Add(whole.Append(nil))
	f.Add([]byte(`{"v":1,"labels":{"a":[]},"suspects":{"b":null}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse(b); err == nil && (s.Open < 0 || s.Sockets < 0 || s.Admission < 0 || s.Admission > 1) {
			t.Errorf("%+v", s)
		}
	})
}

// A process that still leaves writes later than the one that has replaced it; that one's word counts.
func TestYoungest(t *testing.T) {
	s, ok := Newest([]State{{Since: 5, At: 30}, {Since: 20, At: 25, Standby: true}, {Since: 1, At: 31}})
	if !ok || !s.Standby {
		t.Errorf("%+v %t", s, ok)
	}
	if _, ok := Newest(nil); ok {
		t.Error("there is none")
	}
}
