package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/opensearch"
	"saffronquay/internal/broker/vrrp"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// Operator is what an operator's file sets up: a gatherer that speaks the search API, away from the platform.
type Operator struct {
	Name, Listen      string
	Operator          string // where operators call; empty: no door
	Seed              uint64
	Sockets, MemoryMB int
	Settings          Settings
	Budgets           map[string]core.Budget // of attempts, by tenant
	TenantHeader      string
	Indices           map[string]opensearch.Index
	Servers           []sq.Server
	Addresses         map[sq.ServerID]string
	VRRP              *VRRP    // nil: off
	Cursors           *Cursors // nil: there are no points in time
	Layout            *Layout  // nil: settings and indices say where shards are, for good
	Store             *Store   // nil: nothing outlasts the process
	Log               Log
	Contracts         *admission.Config // nil: there are none
	Fleet             *Fleet            // nil: it knows of no others
	Rollout           *Rollout          // nil: the file alone has the policy
	Text              []byte            // the file, without what an overlay changed
}

// Log is how the log is written.
type Log struct {
	Format string // text or json; empty: text
	Level  string // debug, info, warn or error; empty: info
}

// Store sets up the durable store.
type Store struct {
	Directories [2]string     // of the two copies
	Keep        time.Duration // how long a client's key is known
	Takeover    time.Duration // how long a process waits for the one that it replaces
	KeyHeader   string        // the header field that names a client's key
	MaxAnswer   int           // bytes of an answer that are kept
	SegmentSize int64         // bytes
	Single      bool          // without group commit: to measure it by
	Without     bool          // where it can't be opened, the program starts without the classes that need it
}

func (s *Store) same(o *Store) bool { return s == nil && o == nil || s != nil && o != nil && *s == *o }

// Cursors sets up points in time.
type Cursors struct {
	Key             []byte // nil: each process has its own
	Most            int    // open at a time, of one tenant
	MaxKeep, MaxAge time.Duration
}

// Layout sets up ranges that split, merge and move.
type Layout struct {
	Whole     layout.Doc    // as last known
	Directory string        // host:port that tells what changes; empty: the file alone does
	Stall     time.Duration // a change that stays in one state for longer is reported
}

// VRRP sets up a virtual router that this gatherer takes part in.
type VRRP struct {
	Router  vrrp.Config
	Listen  netip.AddrPort
	Peers   []netip.AddrPort
	Service string // host:port that clients reach at the virtual address, served while Active
}

// LoadOperator reads the operator's file that the environment names; ok is false where it names none, and the
// second front stays off.
//
// overlay, where not empty, is the policy in force: its keys prevail over the file's.
func LoadOperator(getenv func(string) string, readFile func(string) ([]byte, error), overlay ...[]byte) (o Operator, ok bool, err error) {
	const variable = "SAFFRONQUAY_OPERATOR_FILE"
	path := getenv(variable)
	if path == "" {
		return o, false, nil
	}
	text, err := readFile(path)
	if err != nil {
		return o, true, fmt.Errorf("%s: %w", variable, err)
	}
	if o, err = ParseOperator(text, overlay...); err != nil {
		return o, true, fmt.Errorf("%s: %w", variable, err)
	}
	return o, true, nil
}

// ReloadOperator reads the file once more while the program runs, and judges it whole.
func ReloadOperator(getenv func(string) string, readFile func(string) ([]byte, error), inForce Operator, overlay ...[]byte) (Operator, error) {
	o, _, err := LoadOperator(getenv, readFile, overlay...)
	if err != nil {
		return Operator{}, err
	}
	if err := inForce.Fits(o); err != nil {
		return Operator{}, fmt.Errorf("SAFFRONQUAY_OPERATOR_FILE: %w", err)
	}
	if o.Rollout != nil {
		if key := policyChanged(inForce.Text, o.Text); key != "" {
			return Operator{}, fmt.Errorf("SAFFRONQUAY_OPERATOR_FILE: %s: with a rollout on it is changed by 'saffronquay policy propose'", key)
		}
	}
	return o, nil
}

// Fits tells whether another file may be put in force while the program runs with this one.
func (inForce Operator) Fits(o Operator) error {
	if err := inForce.Settings.checkLayout(o.Settings); err != nil {
		return err
	}
	if (inForce.Layout == nil) != (o.Layout == nil) ||
		o.Layout != nil && (inForce.Layout.Directory == "") != (o.Layout.Directory == "") {
		return fmt.Errorf("layout: to begin or end it, or its directory, needs a restart")
	}
	if (inForce.Fleet == nil) != (o.Fleet == nil) || o.Fleet != nil && !reflect.DeepEqual(inForce.Fleet.fixed(), o.Fleet.fixed()) {
		return fmt.Errorf("fleet: to change it needs a restart, but for balancers and contracts")
	}
	if !inForce.Store.same(o.Store) {
		return fmt.Errorf("store: to change it needs a restart")
	}
	if !reflect.DeepEqual(inForce.Rollout, o.Rollout) {
		return fmt.Errorf("rollout: to change it needs a restart")
	}
	return nil
}

// ParseOperator reads an operator's file.
func ParseOperator(text []byte, overlay ...[]byte) (Operator, error) {
	local := text
	for _, policy := range overlay {
		var err error
		if text, err = withPolicy(text, policy); err != nil {
			return Operator{}, err
		}
	}
	r, err := newReader(text)
	if err != nil {
		return Operator{}, err
	}
	r.require("listen", "settings", "indices", "servers")
	o := Operator{
		Text: local, Name: r.str("name", "saffronquay"), Listen: r.str("listen", ""),
		Operator: r.str("operator", ""), TenantHeader: r.str("tenant_header", "X-Tenant"), Settings: readSettings(r.object("settings")),
		Sockets: r.object("limits").count("sockets", 1024), MemoryMB: r.object("limits").count("memory_mb", 192),
		Budgets: map[string]core.Budget{}, Indices: map[string]opensearch.Index{},
		Addresses: map[sq.ServerID]string{},
	}
	r.hostPort("listen", o.Listen)
	r.optionalHostPort("operator", o.Operator)
	if o.Seed, err = strconv.ParseUint(r.str("seed", "0"), 16, 64); err != nil {
		r.fault("seed", "want hex digits, not %q", r.str("seed", ""))
	}
	r.limits(o.Sockets, o.MemoryMB)
	o.Settings.checkServing(r.object("settings"))
	o.tenants(r)
	placed := r.has("layout")
	for _, x := range r.array("indices") {
		o.index(x, placed)
	}
	for _, x := range r.array("servers") {
		if x.require("id", "address"); !placed {
			x.require("cell")
		}
		id := sq.ServerID(x.str("id", ""))
		if _, twice := o.Addresses[id]; twice {
			x.fault("id", "%q is named twice", id)
		}
		cell := x.count("cell", 0)
		if cell < 0 || cell >= o.Settings.Module.Cells {
			x.fault("cell", "there is no cell %d", cell)
		}
		o.Addresses[id] = x.str("address", "")
		x.hostPort("address", o.Addresses[id])
		health := sq.Ready
		if x.boolean("draining") {
			health = sq.Draining
		}
		o.Servers = append(o.Servers, sq.Server{ID: id, Zone: x.str("zone", ""), Cell: cell, Health: health})
	}
	if placed {
		o.layout(r.object("layout"))
	}
	if r.has("cursors") {
		o.cursors(r.object("cursors"))
	}
	if l := r.object("log"); l.v != nil {
		o.Log = Log{Format: l.str("format", "text"), Level: l.str("level", "info")}
		if o.Log.Format != "text" && o.Log.Format != "json" {
			l.fault("format", "want text or json, not %q", o.Log.Format)
		}
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, o.Log.Level) {
			l.fault("level", "want debug, info, warn or error, not %q", o.Log.Level)
		}
	}
	if r.has("contracts") {
		o.contracts(r.object("contracts"))
	}
	if r.has("fleet") {
		o.fleet(r.object("fleet"))
		o.named(r)
	}
	r.str("$schema", "") // for editors
	if r.has("vrrp") {
		o.VRRP = readVRRP(r.object("vrrp"))
	}
	if r.has("store") {
		o.Store = readStore(r.object("store"))
		for _, c := range o.Settings.Module.Classes {
			if c.Effect == sq.AtMostOnce && o.Store.Keep.Microseconds() < c.HardLimit {
				r.object("store").fault("keep_ms", "want at least the hard limit of class %q", c.Name)
			}
		}
	}
	if r.has("rollout") {
		o.rollout(r.object("rollout"))
		o.named(r)
	}
	r.strict()
	return o, r.err()
}

// cursors reads the bounds of points in time, and the key that seals their tokens.
func (o *Operator) cursors(r reader) {
	o.Cursors = &Cursors{
		Most: r.count("most", 100), MaxKeep: time.Duration(r.integer("max_keep_ms", 300_000)) * time.Millisecond,
		MaxAge: time.Duration(r.integer("max_age_ms", 3_600_000)) * time.Millisecond,
	}
	if o.Cursors.Most < 1 || o.Cursors.Most > 10_000 {
		r.fault("most", "want 1 to 10000, not %d", o.Cursors.Most)
	}
	if o.Cursors.MaxKeep <= 0 || o.Cursors.MaxAge < o.Cursors.MaxKeep {
		r.fault("max_age_ms", "want at least max_keep_ms, and both above nought")
	}
	if text := r.str("key", ""); text != "" {
		var err error
		if o.Cursors.Key, err = hex.DecodeString(text); err != nil || len(o.Cursors.Key) < 16 {
			r.fault("key", "want 32 hex digits or more")
		}
	}
}

// layout reads where the ranges are, as last known, and who tells of changes.
func (o *Operator) layout(r reader) {
	r.require("whole")
	o.Layout = &Layout{Directory: r.str("directory", ""), Stall: time.Duration(r.integer("stall_ms", 60_000)) * time.Millisecond}
	r.optionalHostPort("directory", o.Layout.Directory)
	if o.Layout.Stall <= 0 {
		r.fault("stall_ms", "want a time above nought")
	}
	if r.get("whole", fastjson.TypeObject) == nil {
		return
	}
	var err error
	if o.Layout.Whole, err = layout.ParseDoc(r.v.Get("whole").MarshalTo(nil)); err == nil {
		_, err = layout.Make(o.Layout.Whole, func(id sq.ServerID) bool { return o.Addresses[id] != "" })
	}
	if err != nil {
		r.fault("whole", "%v", err)
	}
}

func readVRRP(r reader) *VRRP {
	r.require("vrid", "priority", "listen", "peers", "service")
	v := &VRRP{Service: r.str("service", "")}
	r.hostPort("service", v.Service)
	v.Listen = r.addrPort("listen", r.str("listen", ""))
	vrid, priority, ms := r.integer("vrid", 0), r.integer("priority", 0), r.integer("interval_ms", 1000)
	if vrid < 1 || vrid > 255 {
		r.fault("vrid", "want 1 to 255, not %d", vrid)
	}
	if priority < 1 || priority > 255 {
		r.fault("priority", "want 1 to 255, not %d", priority)
	}
	if ms < 10 || ms > 40950 || ms%10 != 0 {
		r.fault("interval_ms", "want 10 to 40950 in steps of 10, not %d", ms)
	}
	for _, p := range r.array("peers") {
		v.Peers = append(v.Peers, p.addrPort("address", p.str("address", "")))
	}
	v.Router = vrrp.Config{
		VRID: byte(vrid), Priority: byte(priority), Interval: ms / 10,
		Preempt: !r.has("preempt") || r.boolean("preempt"), Primary: v.Listen.Addr(),
	}
	if host, _, err := net.SplitHostPort(v.Service); err == nil {
		ip, err := netip.ParseAddr(host)
		if err != nil || !ip.Is4() {
			r.fault("service", "want an IPv4 address, not %q", host)
		}
		v.Router.Addresses = []netip.Addr{ip}
	}
	return v
}

func (r reader) addrPort(key, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil || !a.Addr().Is4() {
		r.fault(key, "%q is not an IPv4 address and port", value)
	}
	return a
}

func (r reader) hostPort(key, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		r.fault(key, "%q is not host:port", value)
	}
}

func (r reader) optionalHostPort(key, value string) {
	if value != "" {
		r.hostPort(key, value)
	}
}

// tenants reads the contracts: each tenant's share, and the budget of its further attempts.
func (o *Operator) tenants(r reader) {
	list := r.array("tenants")
	if len(list) > 0 {
		o.Settings.Module.Tenants = nil
	}
	for _, t := range list {
		t.require("name", "quota_per_s")
		name := t.str("name", "")
		o.Settings.Module.Tenants = append(o.Settings.Module.Tenants, sq.Tenant{Name: name, Quota: t.float("quota_per_s", 0)})
		if !t.has("budget") {
			continue
		}
		b := t.object("budget")
		b.require("window_us")
		o.Budgets[name] = core.Budget{Free: b.float("free", 0), Ratio: b.float("ratio", 0), Window: b.integer("window_us", 0)}
		if x := o.Budgets[name]; x.Free < 0 || x.Ratio < 0 || x.Window <= 0 {
			b.fault("window_us", "a budget wants free and ratio of nought or more and a window above nought")
		}
	}
}

func (o *Operator) index(x reader, placed bool) {
	if x.require("name", "class", "field"); !placed {
		x.require("ranges")
	} else if x.has("ranges") {
		x.fault("ranges", "the layout says where they are")
	}
	ix := opensearch.Index{
		Name: x.str("name", ""), Class: x.str("class", ""), Field: x.str("field", ""),
		PartWork: x.integer("part_work_us", 0), Placed: placed,
	}
	switch form := x.str("partials", "json"); form {
	case "json":
	case "protobuf":
		ix.Binary = true
	default:
		x.fault("partials", "want json or protobuf, not %q", form)
	}
	known := false
	for _, c := range o.Settings.Module.Classes {
		known = known || c.Name == ix.Class
	}
	if !known {
		x.fault("class", "unknown class %q", ix.Class)
	}
	if _, twice := o.Indices[ix.Name]; twice {
		x.fault("name", "%q is named twice", ix.Name)
	}
	for _, g := range x.array("ranges") {
		g.require("from", "to", "shard")
		span := opensearch.Span{From: g.integer("from", 0), To: g.integer("to", 0)}
		shard := g.count("shard", 0)
		if span.From >= span.To {
			g.fault("to", "want more than from: to is the first value that is no longer in")
		}
		if shard < 0 || shard >= o.Settings.Module.Shards {
			g.fault("shard", "there is no shard %d", shard)
		}
		ix.Ranges = append(ix.Ranges, opensearch.Range{Span: span, Shard: shard})
	}
	if x.has("ranges") && x.v.Get("ranges").Type() == fastjson.TypeArray && len(ix.Ranges) == 0 {
		x.fault("ranges", "want at least one")
	}
	o.Indices[ix.Name] = ix
}
