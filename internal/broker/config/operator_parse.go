package config

import (
	"encoding/hex"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/opensearch"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// logLevels are the valid values of log.level.
var logLevels = []string{"debug", "info", "warn", "error"}

// ParseOperator parses and validates an operator's file. Each overlay is the text of a policy whose
// keys replace those of the file. The error joins all faults, each with the full name of its key.
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
	o := Operator{Text: local, Budgets: map[string]core.Budget{}, Indices: map[string]opensearch.Index{}, Addresses: map[sq.ServerID]string{}}
	o.process(r)
	o.tenants(r)
	placed := r.has("layout")
	for _, x := range r.array("indices") {
		o.index(x, placed)
	}
	for _, x := range r.array("servers") {
		o.server(x, placed)
	}
	o.sections(r)
	r.checkKeys()
	return o, r.err()
}

// process reads the name of the gatherer, its listen addresses, settings and limits.
func (o *Operator) process(r reader) {
	o.Name, o.Listen, o.Operator = r.str("name", "saffronquay"), r.str("listen", ""), r.str("operator", "")
	o.TenantHeader, o.Settings = r.str("tenant_header", "X-Tenant"), readSettings(r.object("settings"))
	o.Sockets, o.MemoryMB = r.object("limits").count("sockets", defaultSockets), r.object("limits").count("memory_mb", defaultMemoryMB)
	r.hostPort("listen", o.Listen)
	r.optionalHostPort("operator", o.Operator)
	o.Seed = r.seed()
	r.checkLimits(o.Sockets, o.MemoryMB)
	o.Settings.checkServing(r.object("settings"))
}

// server reads one server. It needs no cell if there is a layout, which assigns ranges to servers.
func (o *Operator) server(r reader, placed bool) {
	r.require("id", "address")
	if !placed {
		r.require("cell")
	}
	id := sq.ServerID(r.str("id", ""))
	if _, duplicate := o.Addresses[id]; duplicate {
		r.fault("id", "%q is named twice", id)
	}
	cell := r.count("cell", 0)
	if cell < 0 || cell >= o.Settings.Module.Cells {
		r.fault("cell", "cell %d does not exist", cell)
	}
	o.Addresses[id] = r.str("address", "")
	r.hostPort("address", o.Addresses[id])
	health := sq.Ready
	if r.boolean("draining") {
		health = sq.Draining
	}
	o.Servers = append(o.Servers, sq.Server{ID: id, Zone: r.str("zone", ""), Cell: cell, Health: health})
}

// sections reads the optional sections. The order matters: a section is checked against earlier
// ones, and faults are reported in this order.
func (o *Operator) sections(r reader) {
	if r.has("layout") {
		o.layout(r.object("layout"))
	}
	if r.has("cursors") {
		o.cursors(r.object("cursors"))
	}
	if section := r.object("log"); section.v != nil {
		o.Log = readLog(section)
	}
	if r.has("contracts") {
		o.contracts(r.object("contracts"))
	}
	if r.has("fleet") {
		o.fleet(r.object("fleet"))
		o.checkName(r)
	}
	r.str("$schema", "") // used by editors only
	if r.has("vrrp") {
		o.VRRP = readVRRP(r.object("vrrp"))
	}
	if r.has("store") {
		o.store(r.object("store"))
	}
	if r.has("rollout") {
		o.rollout(r.object("rollout"))
		o.checkName(r)
	}
}

func readLog(r reader) Log {
	log := Log{Format: r.str("format", "text"), Level: r.str("level", "info")}
	if log.Format != "text" && log.Format != "json" {
		r.fault("format", "want text or json, not %q", log.Format)
	}
	if !slices.Contains(logLevels, log.Level) {
		r.fault("level", "want debug, info, warn or error, not %q", log.Level)
	}
	return log
}

// store reads the section store. An idempotency key must be kept at least as long as a query of an
// at-most-once class may run.
func (o *Operator) store(r reader) {
	o.Store = readStore(r)
	for _, class := range o.Settings.Module.Classes {
		if class.Effect == sq.AtMostOnce && o.Store.Retention.Microseconds() < class.HardLimit {
			r.fault("keep_ms", "want at least the hard limit of class %q", class.Name)
		}
	}
}

// cursors reads the limits of points in time, and the key that authenticates their tokens.
func (o *Operator) cursors(r reader) {
	o.Cursors = &Cursors{
		MaxOpen: r.count("most", 100), MaxKeepAlive: time.Duration(r.integer("max_keep_ms", 300_000)) * time.Millisecond,
		MaxAge: time.Duration(r.integer("max_age_ms", 3_600_000)) * time.Millisecond,
	}
	if o.Cursors.MaxOpen < 1 || o.Cursors.MaxOpen > 10_000 {
		r.fault("most", "want 1 to 10000, not %d", o.Cursors.MaxOpen)
	}
	if o.Cursors.MaxKeepAlive <= 0 || o.Cursors.MaxAge < o.Cursors.MaxKeepAlive {
		r.fault("max_age_ms", "want at least max_keep_ms, and both above 0")
	}
	if text := r.str("key", ""); text != "" {
		var err error
		if o.Cursors.Key, err = hex.DecodeString(text); err != nil || len(o.Cursors.Key) < 16 {
			r.fault("key", "want 32 hex digits or more")
		}
	}
}

// layout reads the initial layout of ranges and the address of the directory that announces changes.
func (o *Operator) layout(r reader) {
	r.require("whole")
	o.Layout = &Layout{Directory: r.str("directory", ""), StallTimeout: time.Duration(r.integer("stall_ms", 60_000)) * time.Millisecond}
	r.optionalHostPort("directory", o.Layout.Directory)
	if o.Layout.StallTimeout <= 0 {
		r.fault("stall_ms", "want a time above 0")
	}
	if r.get("whole", fastjson.TypeObject) == nil {
		return
	}
	var err error
	if o.Layout.Document, err = layout.ParseDoc(r.v.Get("whole").MarshalTo(nil)); err == nil {
		_, err = layout.New(o.Layout.Document, func(id sq.ServerID) bool { return o.Addresses[id] != "" })
	}
	if err != nil {
		r.fault("whole", "%v", err)
	}
}

// tenants reads the quota of each tenant, and its budget of extra attempts.
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
			b.fault("window_us", "want free and ratio of 0 or more, and a window above 0")
		}
	}
}

func (o *Operator) index(x reader, placed bool) {
	if x.require("name", "class", "field"); !placed {
		x.require("ranges")
	} else if x.has("ranges") {
		x.fault("ranges", "the layout determines them: want no ranges here")
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
	if _, duplicate := o.Indices[ix.Name]; duplicate {
		x.fault("name", "%q is named twice", ix.Name)
	}
	for _, g := range x.array("ranges") {
		g.require("from", "to", "shard")
		span := opensearch.Span{From: g.integer("from", 0), To: g.integer("to", 0)}
		shard := g.count("shard", 0)
		if span.From >= span.To {
			g.fault("to", "want more than from: the range does not include to")
		}
		if shard < 0 || shard >= o.Settings.Module.Shards {
			g.fault("shard", "shard %d does not exist", shard)
		}
		ix.Ranges = append(ix.Ranges, opensearch.Range{Span: span, Shard: shard})
	}
	if x.has("ranges") && x.v.Get("ranges").Type() == fastjson.TypeArray && len(ix.Ranges) == 0 {
		x.fault("ranges", "want at least one range")
	}
	o.Indices[ix.Name] = ix
}
