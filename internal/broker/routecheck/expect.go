package routecheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Expectation is one condition on the routing of queries. Exactly one of its kinds, LeastHolders to
// NoChange, is set, which Parse checks.
type Expectation struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Group  string `json:"group,omitempty"`
	Gone   *Gone  `json:"gone,omitempty"` // nil: no simulated loss

	LeastHolders *LeastHolders `json:"least_holders,omitempty"`
	LeastZones   *LeastZones   `json:"least_zones,omitempty"`
	KeyZones     *KeyZones     `json:"key_zones,omitempty"`
	KeyGoesTo    *KeyGoesTo    `json:"key_goes_to,omitempty"`
	Covers       *Covers       `json:"covers,omitempty"`
	MostParts    *MostParts    `json:"most_parts,omitempty"`
	MostLoad     *MostLoad     `json:"most_load,omitempty"`
	MostMoved    *MostMoved    `json:"most_moved,omitempty"`
	GetsNothing  *GetsNothing  `json:"gets_nothing,omitempty"`
	ContractFits *ContractFits `json:"contract_fits,omitempty"`
	NoChange     *NoChange     `json:"no_change,omitempty"`
}

// Gone is the simulated loss under which an expectation is evaluated: of one zone, of one server,
// or of each server or zone in turn. Exactly one field is set.
type Gone struct {
	Zone   string `json:"zone,omitempty"`
	Server string `json:"server,omitempty"`
	Any    string `json:"any,omitempty"` // anyServer or anyZone
}

// The values of Gone.Any.
const (
	anyServer = "server"
	anyZone   = "zone"
)

// The kinds of expectations.
type (
	// LeastHolders requires a minimum number of available holders for each range.
	LeastHolders struct {
		Holders int `json:"holders"`
	}
	// LeastZones requires that the available holders of each range are in a minimum number of
	// zones.
	LeastZones struct {
		Zones int `json:"zones"`
	}
	// KeyZones is LeastZones for the ranges that contain one key.
	KeyZones struct {
		Key   int64 `json:"key"`
		Zones int   `json:"zones"`
	}
	// KeyGoesTo requires that the decision module sends the key's part to one of the listed
	// servers.
	KeyGoesTo struct {
		Key     int64    `json:"key"`
		Servers []string `json:"servers"`
	}
	// Covers requires that in every index each key of the span [From, To) is in a range.
	Covers struct {
		From int64 `json:"from"`
		To   int64 `json:"to"`
	}
	// MostParts limits the parts of a query over the span [From, To), in every index.
	MostParts struct {
		From  int64 `json:"from"`
		To    int64 `json:"to"`
		Parts int   `json:"parts"`
	}
	// MostLoad limits each server's load as a multiple of the mean. A range's load is its number of
	// keys, divided evenly among its holders.
	MostLoad struct {
		TimesMean float64 `json:"times_mean"`
	}
	// MostMoved limits the fraction of keys with a holder that they do not have in another roster.
	MostMoved struct {
		FromRoster string  `json:"from_roster"`
		Share      float64 `json:"share"`
	}
	// GetsNothing requires that a server is not an available holder of any range, and that the
	// decision module sends nothing to it.
	GetsNothing struct {
		Server string `json:"server"`
	}
	// ContractFits limits the work allowed by a tenant's quota, or by the quotas of all tenants if
	// none is named, to a fraction of the servers' capacity.
	ContractFits struct {
		Tenant         string  `json:"tenant,omitempty"`
		Index          string  `json:"index"`
		Parts          float64 `json:"parts"` // of one query
		CoresPerServer float64 `json:"cores_per_server"`
		Share          float64 `json:"share"`
	}
	// NoChange requires that no change of the layout is in progress.
	NoChange struct{}
)

// Parse decodes and validates a file of expectations. Unknown keys are errors. The returned error
// joins all faults, each with its path in the file.
func Parse(text []byte) ([]Expectation, error) {
	var file struct {
		Schema string        `json:"$schema,omitempty"`
		Expect []Expectation `json:"expect"`
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return nil, fmt.Errorf("decode expectations: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode expectations: unexpected data after the JSON document")
	}
	if len(file.Expect) == 0 {
		return nil, errors.New("expect: want at least one expectation")
	}
	var faults []error
	named := map[string]bool{}
	for i, e := range file.Expect {
		for _, text := range e.faults() {
			faults = append(faults, fmt.Errorf("expect[%d]%s", i, text))
		}
		if named[e.Name] {
			faults = append(faults, fmt.Errorf("expect[%d].name: duplicate name %q", i, e.Name))
		}
		named[e.Name] = true
	}
	return file.Expect, errors.Join(faults...)
}

// faults returns the texts of an expectation's faults, each of which begins with the path of the
// key at fault.
func (e Expectation) faults() (out []string) {
	want := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	want(e.Name != "", ".name: missing")
	want(e.Reason != "", ".reason: missing: state the purpose of the expectation")
	kinds := 0
	has := func(is bool) bool {
		if is {
			kinds++
		}
		return is
	}
	if has(e.LeastHolders != nil) {
		want(e.LeastHolders.Holders >= 1, ".least_holders.holders: want 1 or more")
	}
	if has(e.LeastZones != nil) {
		want(e.LeastZones.Zones >= 1, ".least_zones.zones: want 1 or more")
	}
	if has(e.KeyZones != nil) {
		want(e.KeyZones.Zones >= 1, ".key_zones.zones: want 1 or more")
	}
	if has(e.KeyGoesTo != nil) {
		want(len(e.KeyGoesTo.Servers) > 0, ".key_goes_to.servers: want at least one server")
	}
	if has(e.Covers != nil) {
		want(e.Covers.From < e.Covers.To, ".covers.to: want more than from")
	}
	if has(e.MostParts != nil) {
		want(e.MostParts.From < e.MostParts.To && e.MostParts.Parts >= 1, ".most_parts: want from less than to, and parts of 1 or more")
	}
	if has(e.MostLoad != nil) {
		want(e.MostLoad.TimesMean >= 1, ".most_load.times_mean: want 1 or more")
	}
	if has(e.MostMoved != nil) {
		want(e.MostMoved.Share >= 0 && e.MostMoved.Share <= 1, ".most_moved.share: want 0 to 1")
		want(e.MostMoved.FromRoster != "", ".most_moved.from_roster: missing")
	}
	if has(e.GetsNothing != nil) {
		want(e.GetsNothing.Server != "", ".gets_nothing.server: missing")
	}
	if has(e.ContractFits != nil) {
		c := e.ContractFits
		want(c.Index != "" && c.Parts > 0 && c.CoresPerServer > 0 && c.Share >= 0, ".contract_fits: want an index, parts and cores_per_server greater than 0, and share of 0 or more")
	}
	has(e.NoChange != nil)
	want(kinds == 1, ": want exactly one kind of expectation, found %d", kinds)
	if e.Gone != nil {
		out = append(out, e.Gone.faults()...)
	}
	return out
}

// faults returns the texts of a loss's faults.
func (g Gone) faults() (out []string) {
	set := 0
	for _, field := range []string{g.Zone, g.Server, g.Any} {
		if field != "" {
			set++
		}
	}
	if set != 1 {
		out = append(out, ".gone: want exactly one of zone, server and any")
	}
	if g.Any != "" && g.Any != anyServer && g.Any != anyZone {
		out = append(out, fmt.Sprintf(".gone.any: invalid value %q: want server or zone", g.Any))
	}
	return out
}
