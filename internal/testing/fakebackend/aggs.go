package fakebackend

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"math/big"
	"slices"
	"time"

	"github.com/axiomhq/hyperloglog"
	"github.com/influxdata/tdigest"
	"github.com/valyala/fastjson"
)

// Aggregate evaluates an aggregation clause over rows and returns the result in OpenSearch's
// response format. With partial, it adds sums as exact terms, and returns sketches in place of
// values that cannot be merged. It shares no code with the broker's merge, so that tests compare
// two independent implementations.
func Aggregate(clause *fastjson.Value, rows []Row, key string, partial bool) map[string]any {
	out := map[string]any{}
	clause.GetObject().Visit(func(name []byte, v *fastjson.Value) {
		subs := v.Get("aggs")
		v.GetObject().Visit(func(kind []byte, spec *fastjson.Value) {
			if k := string(kind); k != "aggs" {
				a := aggregation{k, spec, subs, key, partial}
				out[string(name)] = a.evaluate(rows)
			}
		})
	})
	return out
}

type aggregation struct {
	kind    string
	spec    *fastjson.Value
	subs    *fastjson.Value
	key     string
	partial bool
}

func (a aggregation) values(rows []Row) (out []any) {
	for _, r := range rows {
		if v := r.Field(string(a.spec.GetStringBytes("field")), a.key); v != nil {
			out = append(out, v)
		}
	}
	return out
}

func (a aggregation) evaluate(rows []Row) any {
	values := a.values(rows)
	switch a.kind {
	case "value_count":
		return map[string]any{"value": len(values)}
	case "cardinality":
		return a.cardinality(values)
	case "percentiles":
		return a.percentiles(values)
	case "filter":
		return a.bucket(map[string]any{}, a.matching(a.spec, rows))
	case "filters":
		buckets := map[string]any{}
		a.spec.GetObject("filters").Visit(func(name []byte, q *fastjson.Value) {
			buckets[string(name)] = a.bucket(map[string]any{}, a.matching(q, rows))
		})
		return map[string]any{"buckets": buckets}
	case "range":
		return a.ranges(rows)
	case "terms", "histogram", "date_histogram", "composite":
		return a.groupedBuckets(rows)
	}
	return a.metric(values)
}

func (a aggregation) matching(q *fastjson.Value, rows []Row) (out []Row) {
	for _, r := range rows {
		if matches(q, a.key, r.Key) {
			out = append(out, r)
		}
	}
	return out
}

func (a aggregation) bucket(b map[string]any, rows []Row) map[string]any {
	b["doc_count"] = len(rows)
	if a.subs != nil {
		for name, v := range Aggregate(a.subs, rows, a.key, a.partial) {
			b[name] = v
		}
	}
	return b
}

// exactSum returns the sum of the values, each mapped by of, without rounding.
func exactSum(values []any, of func(float64) *big.Float) *big.Float {
	sum := new(big.Float).SetPrec(4500)
	for _, v := range values {
		sum.Add(sum, of(float(v)))
	}
	return sum
}

func exactFloat(f float64) *big.Float { return new(big.Float).SetPrec(4500).SetFloat64(f) }

func exactSquare(f float64) *big.Float { x := exactFloat(f); return x.Mul(x, x) }

// exactTerms returns float64 terms whose exact sum is sum.
func exactTerms(sum *big.Float) []float64 {
	out := []float64{}
	for rest := new(big.Float).Copy(sum); rest.Sign() != 0; {
		f, _ := rest.Float64()
		if f == 0 || math.IsInf(f, 0) {
			break
		}
		out = append(out, f)
		rest.Sub(rest, exactFloat(f))
	}
	return out
}

func roundToFloat64(sum *big.Float) float64 { f, _ := sum.Float64(); return f }

func (a aggregation) metric(values []any) any {
	sum, sq := exactSum(values, exactFloat), exactSum(values, exactSquare)
	n := float64(len(values))
	var lo, hi, avg any
	if len(values) > 0 {
		lo, hi, avg = float(slices.MinFunc(values, compareAny)), float(slices.MaxFunc(values, compareAny)), roundToFloat64(sum)/n
	}
	switch a.kind {
	case "sum":
		return a.addExactSum(map[string]any{"value": roundToFloat64(sum)}, "sum_exact", sum)
	case "min":
		return map[string]any{"value": lo}
	case "max":
		return map[string]any{"value": hi}
	case "avg":
		return map[string]any{"value": avg}
	}
	out := a.addExactSum(map[string]any{"count": len(values), "min": lo, "max": hi, "avg": avg, "sum": roundToFloat64(sum)}, "sum_exact", sum)
	if a.kind == "extended_stats" {
		a.addExactSum(out, "sum_of_squares_exact", sq)
		for _, k := range []string{"sum_of_squares", "variance", "std_deviation"} {
			out[k] = nil
		}
		bounds := map[string]any{"upper": nil, "lower": nil}
		if out["std_deviation_bounds"] = bounds; n > 0 {
			s, q := roundToFloat64(sum), roundToFloat64(sq)
			v := math.Max(0, (q-s*s/n)/n)
			out["sum_of_squares"], out["variance"], out["std_deviation"] = q, v, math.Sqrt(v)
			bounds["upper"], bounds["lower"] = s/n+2*math.Sqrt(v), s/n-2*math.Sqrt(v)
		}
	}
	return out
}

func (a aggregation) addExactSum(m map[string]any, name string, sum *big.Float) map[string]any {
	if a.partial {
		m[name] = exactTerms(sum)
	}
	return m
}

func (a aggregation) cardinality(values []any) any {
	seen, sketch := map[any]bool{}, hyperloglog.New14()
	for _, v := range values {
		seen[v] = true
		sketch.Insert(fmt.Append(nil, v))
	}
	if !a.partial {
		return map[string]any{"value": len(seen)}
	}
	raw, _ := sketch.MarshalBinary() // MarshalBinary of a sketch never fails
	return map[string]any{"value": len(seen), "sketch": base64.StdEncoding.EncodeToString(raw)}
}

func (a aggregation) percentiles(values []any) any {
	if a.partial {
		d, out := tdigest.NewWithCompression(200), [][2]float64{}
		for _, v := range values {
			d.Add(float(v), 1)
		}
		for _, c := range d.Centroids() {
			out = append(out, [2]float64{c.Mean, c.Weight})
		}
		return map[string]any{"centroids": out}
	}
	slices.SortFunc(values, compareAny)
	return map[string]any{"sorted": values}
}

func (a aggregation) ranges(rows []Row) any {
	var out []any
	for _, x := range a.spec.GetArray("ranges") {
		b := map[string]any{"key": string(x.GetStringBytes("key"))}
		lo, hi := math.Inf(-1), math.Inf(1)
		if x.Exists("from") {
			lo = x.GetFloat64("from")
			b["from"] = lo
		}
		if x.Exists("to") {
			hi = x.GetFloat64("to")
			b["to"] = hi
		}
		var in []Row
		for _, r := range rows {
			if v := r.Field(string(a.spec.GetStringBytes("field")), a.key); v != nil && float(v) >= lo && float(v) < hi {
				in = append(in, r)
			}
		}
		out = append(out, a.bucket(b, in))
	}
	return map[string]any{"buckets": out}
}

// group is the rows of one bucket.
type group struct {
	key  []any
	rows []Row
}

// groupedBuckets returns the buckets of an aggregation that groups rows by their values: terms, histogram,
// date_histogram and composite.
func (a aggregation) groupedBuckets(rows []Row) any {
	by := map[string]*group{}
	for _, r := range rows {
		key, ok := a.groupKey(r)
		if !ok {
			continue
		}
		text, _ := json.Marshal(key)
		if by[string(text)] == nil {
			by[string(text)] = &group{key: key}
		}
		by[string(text)].rows = append(by[string(text)].rows, r)
	}
	var list []*group
	for _, g := range by {
		list = append(list, g)
	}
	slices.SortFunc(list, a.compareGroups)
	limit := len(list)
	if a.spec.Exists("size") {
		limit = min(limit, a.spec.GetInt("size"))
	} else if a.kind == "terms" || a.kind == "composite" {
		limit = min(limit, 10)
	}
	out, other := []any{}, 0
	for _, g := range list[limit:] {
		other += len(g.rows)
	}
	res := map[string]any{}
	minDocCount := a.spec.GetInt("min_doc_count")
	for i, g := range list[:limit] {
		if !a.partial && len(g.rows) < minDocCount {
			continue
		}
		if a.kind != "composite" && a.kind != "terms" && !a.partial && minDocCount == 0 && i > 0 {
			for k := list[i-1].key[0]; ; {
				if k = a.next(k); float(k) >= float(g.key[0])-0.25 {
					break
				}
				out = append(out, a.bucket(a.bucketWithKey([]any{k}), nil))
			}
		}
		out = append(out, a.bucket(a.bucketWithKey(g.key), g.rows))
	}
	if res["buckets"] = out; a.kind == "terms" {
		res["sum_other_doc_count"], res["doc_count_error_upper_bound"] = other, 0
	}
	if a.kind == "composite" && limit > 0 {
		res["after_key"] = a.bucketWithKey(list[limit-1].key)["key"]
	}
	return res
}

func (a aggregation) sources() (names []string, specs []*fastjson.Value, kinds []string) {
	for _, s := range a.spec.GetArray("sources") {
		s.GetObject().Visit(func(name []byte, v *fastjson.Value) {
			v.GetObject().Visit(func(kind []byte, spec *fastjson.Value) {
				names, specs, kinds = append(names, string(name)), append(specs, spec), append(kinds, string(kind))
			})
		})
	}
	return names, specs, kinds
}

func (a aggregation) groupKey(r Row) ([]any, bool) {
	if a.kind != "composite" {
		v := r.Field(string(a.spec.GetStringBytes("field")), a.key)
		if v == nil {
			return nil, false
		}
		return []any{a.bucketKey(a.kind, a.spec, v)}, true
	}
	names, specs, kinds := a.sources()
	key := make([]any, len(names))
	for i := range names {
		v := r.Field(string(specs[i].GetStringBytes("field")), a.key)
		if v == nil {
			return nil, false
		}
		key[i] = a.bucketKey(kinds[i], specs[i], v)
	}
	if after := a.spec.Get("after"); after != nil {
		var last []any
		for _, n := range names {
			last = append(last, valuesOf(fastjson.MustParseBytes(append(after.Get(n).MarshalTo([]byte{'['}), ']')))...)
		}
		if a.compareGroups(&group{key: key}, &group{key: last}) <= 0 {
			return nil, false
		}
	}
	return key, true
}

func (a aggregation) bucketKey(kind string, spec *fastjson.Value, v any) any {
	switch kind {
	case "histogram":
		step, offset := spec.GetFloat64("interval"), spec.GetFloat64("offset")
		return math.Floor((float(v)-offset)/step)*step + offset
	case "date_histogram":
		at := time.UnixMilli(int64(float(v))).UTC()
		switch string(spec.GetStringBytes("calendar_interval")) {
		case "day":
			return time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, time.UTC).UnixMilli()
		case "month":
			return time.Date(at.Year(), at.Month(), 1, 0, 0, 0, 0, time.UTC).UnixMilli()
		case "year":
			return time.Date(at.Year(), 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()
		}
		step, err := time.ParseDuration(string(spec.GetStringBytes("fixed_interval")))
		if err != nil {
			return int64(0)
		}
		return int64(math.Floor(float(v)/float64(step.Milliseconds()))) * step.Milliseconds()
	}
	return v
}

func (a aggregation) next(k any) any {
	if a.kind == "histogram" {
		step, offset := a.spec.GetFloat64("interval"), a.spec.GetFloat64("offset")
		return (math.Round((float(k)-offset)/step)+1)*step + offset
	}
	at := time.UnixMilli(int64(float(k))).UTC()
	switch string(a.spec.GetStringBytes("calendar_interval")) {
	case "day":
		return at.AddDate(0, 0, 1).UnixMilli()
	case "month":
		return at.AddDate(0, 1, 0).UnixMilli()
	case "year":
		return at.AddDate(1, 0, 0).UnixMilli()
	}
	step, _ := time.ParseDuration(string(a.spec.GetStringBytes("fixed_interval")))
	return int64(float(k)) + max(1, step.Milliseconds())
}

// compareGroups compares two buckets by the order that the clause requests.
func (a aggregation) compareGroups(x, y *group) int {
	_, specs, _ := a.sources()
	byKey := string(a.spec.GetStringBytes("order", "_key"))
	if a.kind == "terms" && byKey == "" && len(x.rows) != len(y.rows) {
		return cmp.Compare(len(y.rows), len(x.rows))
	}
	for i := range x.key {
		c := compareAny(x.key[i], y.key[i])
		if byKey == "desc" || a.kind == "composite" && string(specs[i].GetStringBytes("order")) == "desc" {
			c = -c
		}
		if c != 0 {
			return c
		}
	}
	return 0
}

func (a aggregation) bucketWithKey(key []any) map[string]any {
	switch a.kind {
	case "composite":
		names, _, _ := a.sources()
		m := map[string]any{}
		for i, n := range names {
			m[n] = key[i]
		}
		return map[string]any{"key": m}
	case "date_histogram":
		return map[string]any{"key": key[0], "key_as_string": time.UnixMilli(int64(float(key[0]))).UTC().Format("2006-01-02T15:04:05.000Z")}
	}
	return map[string]any{"key": key[0]}
}
