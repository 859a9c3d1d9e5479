package handover

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/valyala/fastjson"
)

const (
	version     = 1
	maxSuspects = 256     // maximum number written; the latest are kept
	maxInteger  = 1 << 53 // above it a JSON number is not exact
)

// Append appends a state as JSON. Only the latest maxSuspects suspects are written.
func (s State) Append(dst []byte) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("v", integerValue(&a, version))
	o.Set("name", a.NewString(s.Name))
	o.Set("since", integerValue(&a, s.Since))
	o.Set("at", integerValue(&a, s.At))
	if s.Standby {
		o.Set("standby", a.NewTrue())
	}
	o.Set("sockets", integerValue(&a, int64(s.Sockets)))
	o.Set("open", integerValue(&a, int64(s.Open)))
	o.Set("labels", timesValue(&a, s.Labels, len(s.Labels)))
	o.Set("admission", a.NewNumberFloat64(s.Admission))
	o.Set("suspects", timesValue(&a, s.Suspects, maxSuspects))
	o.Set("discovery", a.NewString(s.Discovery))
	o.Set("generation", integerValue(&a, s.Generation))
	if s.List != nil {
		o.Set("list", a.NewStringBytes(s.List))
	}
	return o.MarshalTo(dst)
}

func integerValue(a *fastjson.Arena, n int64) *fastjson.Value {
	return a.NewNumberString(fmt.Sprint(n))
}

// timesValue returns an object with the latest times by key, at most limit of them.
func timesValue(a *fastjson.Arena, times map[string]int64, limit int) *fastjson.Value {
	v := a.NewObject()
	keys := slices.SortedFunc(maps.Keys(times), func(x, y string) int { return int(min(max(times[y]-times[x], -1), 1)) })
	for _, k := range keys[:min(limit, len(keys))] {
		v.Set(k, integerValue(a, times[k]))
	}
	return v
}

// Parse parses a state. If it returns an error, the state is incomplete and must not be used.
func Parse(text []byte) (State, error) {
	if len(text) > MaxSize {
		return State{}, fmt.Errorf("handover: state exceeds %d bytes", MaxSize)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return State{}, fmt.Errorf("handover: parse state: %w", err)
	}
	if v.Type() != fastjson.TypeObject || v.GetInt("v") != version {
		return State{}, fmt.Errorf("handover: not a state of version %d", version)
	}
	r := reader{object: v}
	s := State{
		Since:      r.integer("since"),
		At:         r.integer("at"),
		Sockets:    int(min(r.integer("sockets"), math.MaxInt32)),
		Open:       int(min(r.integer("open"), math.MaxInt32)),
		Labels:     r.times("labels"),
		Admission:  min(max(r.number("admission"), 0), 1),
		Suspects:   r.times("suspects"),
		Generation: r.integer("generation"),
		Standby:    v.GetBool("standby"),
		Name:       string(r.text("name")),
		Discovery:  string(r.text("discovery")),
	}
	if v.Exists("list") {
		s.List = slices.Clone(r.text("list"))
	}
	return s, r.err
}

// reader reads the fields of an object. It continues after an error, and keeps an error in err.
type reader struct {
	object *fastjson.Value
	err    error
}

// field returns a field of a type. If the field is missing or has another type, it returns nil, and
// sets err unless it is set already.
func (r *reader) field(key string, want fastjson.Type) *fastjson.Value {
	x := r.object.Get(key)
	if x != nil && x.Type() == want {
		return x
	}
	if r.err == nil {
		r.err = fmt.Errorf("handover: field %s: missing or not of type %s", key, want)
	}
	return nil
}

func (r *reader) text(key string) []byte {
	if x := r.field(key, fastjson.TypeString); x != nil {
		return x.GetStringBytes()
	}
	return nil
}

func (r *reader) number(key string) float64 {
	if x := r.field(key, fastjson.TypeNumber); x != nil {
		return x.GetFloat64()
	}
	return 0
}

// integer returns a number from 0 to maxInteger, truncated.
func (r *reader) integer(key string) int64 {
	if n := r.number(key); n >= 0 && n <= maxInteger {
		return int64(n)
	}
	r.err = fmt.Errorf("handover: field %s: number out of range", key)
	return 0
}

func (r *reader) times(key string) map[string]int64 {
	times := map[string]int64{}
	if x := r.field(key, fastjson.TypeObject); x != nil {
		x.GetObject().Visit(func(k []byte, at *fastjson.Value) { times[string(k)] = at.GetInt64() })
	}
	return times
}
