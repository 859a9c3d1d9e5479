// Package handover is what two processes of one gatherer tell each other while one replaces the other. It opens no
// file and reads no clock.
package handover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/valyala/fastjson"
)

// State is what one process tells. Times are Unix microseconds.
type State struct {
	Name       string // of the gatherer
	Since      int64  // when the process began
	At         int64  // when it was written
	Standby    bool
	Sockets    int              // descriptors held
	Open       int              // queries and parts held
	Labels     map[string]int64 // open queries whose label must be theirs alone, with their deadlines
	Admission  float64          // how far admission is open, 0 to 1
	Suspects   map[string]int64 // keys that bring down servers, and when that was found
	Discovery  string           // whose list it is
	Generation int64
	List       []byte // in discovery's form, as JSON; nil: none
}

const (
	version = 1
	// MaxSize bounds a state's text, and so what is read of a file that something else has written.
	MaxSize = 256 << 10
	// Stale is the age from which a state tells of a process that is gone or stands still.
	StaleAfter = 1_000_000
	// mostSuspects are told, the latest first.
	mostSuspects = 256
)

// Append writes a state.
func (s State) Append(dst []byte) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	count := func(n int64) *fastjson.Value { return a.NewNumberString(fmt.Sprint(n)) }
	times := func(m map[string]int64, most int) *fastjson.Value {
		v := a.NewObject()
		keys := slices.SortedFunc(maps.Keys(m), func(x, y string) int { return int(min(max(m[y]-m[x], -1), 1)) })
		for _, k := range keys[:min(most, len(keys))] {
			v.Set(k, count(m[k]))
		}
		return v
	}
	o.Set("v", count(version))
	o.Set("name", a.NewString(s.Name))
	o.Set("since", count(s.Since))
	o.Set("at", count(s.At))
	if s.Standby {
		o.Set("standby", a.NewTrue())
	}
	o.Set("sockets", count(int64(s.Sockets)))
	o.Set("open", count(int64(s.Open)))
	o.Set("labels", times(s.Labels, len(s.Labels)))
	o.Set("admission", a.NewNumberFloat64(s.Admission))
	o.Set("suspects", times(s.Suspects, mostSuspects))
	o.Set("discovery", a.NewString(s.Discovery))
	o.Set("generation", count(s.Generation))
	if s.List != nil {
		o.Set("list", a.NewStringBytes(s.List))
	}
	return o.MarshalTo(dst)
}

// Parse reads a state whole, or not at all.
func Parse(text []byte) (State, error) {
	if len(text) > MaxSize {
		return State{}, fmt.Errorf("handover: over %d bytes", MaxSize)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return State{}, fmt.Errorf("handover: %w", err)
	}
	if v.Type() != fastjson.TypeObject || v.GetInt("v") != version {
		return State{}, fmt.Errorf("handover: not of version %d", version)
	}
	var fault error
	get := func(key string, want fastjson.Type) *fastjson.Value {
		x := v.Get(key)
		if x == nil || x.Type() != want {
			if fault == nil {
				fault = fmt.Errorf("handover: %s: want %s", key, want)
			}
			return nil
		}
		return x
	}
	times := func(key string) map[string]int64 {
		m := map[string]int64{}
		if x := get(key, fastjson.TypeObject); x != nil {
			x.GetObject().Visit(func(k []byte, at *fastjson.Value) { m[string(k)] = at.GetInt64() })
		}
		return m
	}
	number := func(key string) float64 {
		if x := get(key, fastjson.TypeNumber); x != nil {
			return x.GetFloat64()
		}
		return 0
	}
	count := func(key string) int64 {
		if n := number(key); n >= 0 && n <= 1<<53 {
			return int64(n)
		}
		fault = fmt.Errorf("handover: %s: out of range", key)
		return 0
	}
	s := State{
		Since: count("since"), At: count("at"), Sockets: int(min(count("sockets"), math.MaxInt32)), Open: int(min(count("open"), math.MaxInt32)),
		Labels: times("labels"), Admission: min(max(number("admission"), 0), 1), Suspects: times("suspects"),
		Generation: count("generation"), Standby: v.GetBool("standby"),
	}
	if x := get("name", fastjson.TypeString); x != nil {
		s.Name = string(x.GetStringBytes())
	}
	if x := get("discovery", fastjson.TypeString); x != nil {
		s.Discovery = string(x.GetStringBytes())
	}
	if v.Exists("list") {
		if x := get("list", fastjson.TypeString); x != nil {
			s.List = slices.Clone(x.GetStringBytes())
		}
	}
	return s, fault
}

// Fresh tells that a state was written so lately that its process lives.
func (s State) IsFresh(now int64) bool { return s.At > now-StaleAfter && s.At < now+StaleAfter }

// Newest is the state of the process to succeed: where several run, the older ones leave already.
func Newest(states []State) (State, bool) {
	if len(states) == 0 {
		return State{}, false
	}
	return slices.MaxFunc(states, func(a, b State) int { return cmp.Compare(a.Since, b.Since) }), true
}
