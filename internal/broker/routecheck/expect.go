package routecheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Expectation is one thing that has to hold of where queries go. Exactly one of the kinds is set.
type Expectation struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Group  string `json:"group,omitempty"`
	Gone   *Gone  `json:"gone,omitempty"`

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

// Gone says what is away while an expectation is judged: one zone, one server, or each server or zone in turn.
type Gone struct {
	Zone   string `json:"zone,omitempty"`
	Server string `json:"server,omitempty"`
	Any    string `json:"any,omitempty"`
}

// The kinds of expectations.
type (
	// LeastHolders: each range has so many holders that may be sent to.
	LeastHolders struct {
		Holders int `json:"holders"`
	}
	// LeastZones: those holders stand in so many zones.
	LeastZones struct {
		Zones int `json:"zones"`
	}
	// KeyZones is LeastZones of one key's ranges.
	KeyZones struct {
		Key   int64 `json:"key"`
		Zones int   `json:"zones"`
	}
	// KeyGoesTo: the module sends the key's part to one of some servers.
	KeyGoesTo struct {
		Key     int64    `json:"key"`
		Servers []string `json:"servers"`
	}
	// Covers: every key of a span lies in a range.
	Covers struct {
		From int64 `json:"from"`
		To   int64 `json:"to"`
	}
	// MostParts: a query over a span has so many parts at most, in every index.
	MostParts struct {
		From  int64 `json:"from"`
		To    int64 `json:"to"`
		Parts int   `json:"parts"`
	}
	// MostLoad: no server has more than so many times the mean, where each range's work is as wide as its keys and its holders share it.
	MostLoad struct {
		TimesMean float64 `json:"times_mean"`
	}
	// MostMoved: of the keys of another roster at most a share gets a holder that it has not there.
	MostMoved struct {
		FromRoster string  `json:"from_roster"`
		Share      float64 `json:"share"`
	}
	// GetsNothing: the module sends a server nothing.
	GetsNothing struct {
		Server string `json:"server"`
	}
	// ContractFits: a tenant's queries, or without one those of all together, take at most a share of what the servers can do.
	ContractFits struct {
		Tenant         string  `json:"tenant,omitempty"`
		Index          string  `json:"index"`
		Parts          float64 `json:"parts"` // of a query
		CoresPerServer float64 `json:"cores_per_server"`
		Share          float64 `json:"share"`
	}
	// NoChange: no change of the layout is under way.
	NoChange struct{}
)

// Parse reads a file of expectations, and gives all its faults joined, each with its place.
func Parse(text []byte) ([]Expectation, error) {
	var file struct {
		Schema string        `json:"$schema,omitempty"`
		Expect []Expectation `json:"expect"`
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return nil, fmt.Errorf("expectations: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("expectations: something follows them")
	}
	if len(file.Expect) == 0 {
		return nil, errors.New("expect: want at least one")
	}
	var faults []error
	named := map[string]bool{}
	for i, e := range file.Expect {
		for _, text := range e.faults() {
			faults = append(faults, fmt.Errorf("expect[%d]%s", i, text))
		}
		if named[e.Name] {
			faults = append(faults, fmt.Errorf("expect[%d].name: %q is there twice", i, e.Name))
		}
		named[e.Name] = true
	}
	return file.Expect, errors.Join(faults...)
}

// faults are what makes no sense in an expectation.
func (e Expectation) faults() (out []string) {
	want := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	want(e.Name != "", ".name: missing")
	want(e.Reason != "", ".reason: missing: whoever sees it fail has to know why it is there")
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
		want(len(e.KeyGoesTo.Servers) > 0, ".key_goes_to.servers: want at least one")
	}
	if has(e.Covers != nil) {
		want(e.Covers.From < e.Covers.To, ".covers.to: want more than from")
	}
	if has(e.MostParts != nil) {
		want(e.MostParts.From < e.MostParts.To && e.MostParts.Parts >= 1, ".most_parts: want a span and 1 part or more")
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
		want(c.Index != "" && c.Parts > 0 && c.CoresPerServer > 0 && c.Share >= 0, ".contract_fits: want an index, and parts and cores above nought")
	}
	has(e.NoChange != nil)
	want(kinds == 1, ": want exactly one kind, not %d", kinds)
	if g := e.Gone; g != nil {
		set := 0
		for _, x := range []string{g.Zone, g.Server, g.Any} {
			if x != "" {
				set++
			}
		}
		want(set == 1, ".gone: want exactly one of zone, server and any")
		want(g.Any == "" || g.Any == "server" || g.Any == "zone", ".gone.any: want server or zone, not %q", g.Any)
	}
	return out
}
