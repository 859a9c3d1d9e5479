package server

import (
	"crypto/rand"
	"encoding/binary"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/pagination"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"
	"time"

	"google.golang.org/protobuf/proto"

	sq "saffronquay"
)

// load reads the records that the previous process has saved, and creates the cursor key if there is
// none. A layout, statistics or cursor that cannot be parsed counts as absent.
func (d *durableState) load() error {
	if r, ok, err := d.store.Get(recordlog.CursorKey, ""); err != nil {
		return err
	} else if ok {
		d.cursorKey = r.Value
	} else {
		d.cursorKey = make([]byte, 32)
		rand.Read(d.cursorKey) // never fails
		if err := d.store.Append(recordlog.Record{Kind: recordlog.CursorKey, Value: d.cursorKey}, nil); err != nil {
			return err
		}
	}
	if r, ok, err := d.store.Get(recordlog.Layout, ""); err != nil {
		return err
	} else if ok {
		var f form.Layout
		if err := proto.Unmarshal(r.Value, &f); err == nil {
			if doc, err := layout.ParseDoc(f.Doc); err == nil {
				d.lastLayout = &doc
			}
		}
	}
	if r, ok, err := d.store.Get(recordlog.ServerState, ""); err != nil {
		return err
	} else if ok {
		d.persisted = parseStatistics(r.Value)
	}
	return d.store.Each(recordlog.Cursor, func(r recordlog.Record) {
		var f form.Cursor
		if proto.Unmarshal(r.Value, &f) == nil {
			d.cursorMarks = append(d.cursorMarks, pagination.Record{Tenant: f.Tenant, Nonce: f.Nonce, Until: f.Until, Closed: f.Closed})
		}
	})
}

// ParseStatistics parses the statistics of servers from the value of a stored record. It returns the
// zero value if the value cannot be parsed.
func ParseStatistics(value []byte) sq.Snapshot { return parseStatistics(value).Learned }

// parseStatistics parses the value of the record of the statistics of servers and tenants. It returns
// the zero value if the value cannot be parsed.
func parseStatistics(value []byte) (m transport.PersistentState) {
	var f form.Learned
	if proto.Unmarshal(value, &f) != nil {
		return m
	}
	m.Learned = sq.Snapshot{Admission: min(max(f.Admission, 0), 1), Suspects: f.Suspects}
	for _, s := range f.Servers {
		m.Learned.Servers = append(m.Learned.Servers, sq.ServerSnapshot{Server: sq.ServerID(s.Id), LatencyRatio: s.Pace, LatencyRatioAt: s.PaceAt, Failures: s.Fails, Attempts: s.Tries, CountedAt: s.At})
	}
	m.Spent = map[string]core.Spent{}
	for _, r := range f.Rations {
		s := core.Spent{At: r.At}
		copy(s.Parts[:], r.Taken)
		copy(s.Retries[:], r.Extras)
		m.Spent[r.Tenant] = s
	}
	return m
}

// marshalStatistics returns the value of the record that parseStatistics parses.
func marshalStatistics(m transport.PersistentState) ([]byte, error) {
	f := &form.Learned{Admission: m.Learned.Admission, Suspects: m.Learned.Suspects}
	for _, s := range m.Learned.Servers {
		f.Servers = append(f.Servers, &form.Server{Id: string(s.Server), Pace: s.LatencyRatio, PaceAt: s.LatencyRatioAt, Fails: s.Failures, Tries: s.Attempts, At: s.CountedAt})
	}
	for tenant, s := range m.Spent {
		f.Rations = append(f.Rations, &form.Ration{Tenant: tenant, At: s.At, Taken: s.Parts[:], Extras: s.Retries[:]})
	}
	return proto.Marshal(f)
}

// newestLayout returns the layout to start with: the stored one if it belongs to the same history as
// the configured one, has a higher epoch and names only known servers, otherwise the configured one.
func (d *durableState) newestLayout(file layout.Doc, servers []sq.ServerID) layout.Doc {
	if d == nil || d.lastLayout == nil || d.lastLayout.History != file.History || d.lastLayout.Epoch <= file.Epoch {
		return file
	}
	listed := map[sq.ServerID]bool{}
	for _, id := range servers {
		listed[id] = true
	}
	if _, err := layout.New(*d.lastLayout, func(id sq.ServerID) bool { return listed[id] }); err != nil {
		logging.Warn(d.log, logging.StoreLayout, "kept", "file", "error", err)
		return file
	}
	return *d.lastLayout
}

// trackCursors restores the saved cursors into a registry, and saves the registry's changes from
// then on.
func (d *durableState) trackCursors(k *pagination.Registry, now int64) {
	if d == nil || d.store == nil || k == nil {
		return
	}
	for _, m := range d.cursorMarks {
		k.Restore(now, m)
	}
	d.cursorMarks = nil
	k.OnChange(func(m pagination.Record) {
		value, err := proto.Marshal(&form.Cursor{Tenant: m.Tenant, Nonce: m.Nonce, Until: m.Until, Closed: m.Closed})
		if err != nil {
			return
		}
		key := binary.BigEndian.AppendUint64([]byte(m.Tenant+"\x00"), m.Nonce)
		// The record expires with the cursor. Until is Unix time, whereas the store's clock starts with
		// the process, so the remaining time is converted.
		d.appendRecord(recordlog.Record{Kind: recordlog.Cursor, Key: string(key), Value: value, ExpiresAt: d.store.Now() + max(1, m.Until-time.Now().UnixMicro())})
	})
}

// appendRecord passes a record to the store and does not wait until it is on disk. It reports whether
// the store has accepted the record.
func (d *durableState) appendRecord(r recordlog.Record) bool {
	err := d.store.Append(r, d.recordFailure)
	if err != nil {
		d.recordFailure(err)
	}
	return err == nil
}

// recordFailure takes the result of an append; nil means success. Of a series of failures it logs the
// first one only.
func (d *durableState) recordFailure(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && !d.failing {
		logging.Warn(d.log, logging.StoreMisses, "error", err)
	}
	d.failing = err != nil
}

// storedPolicy returns the policy that was in force when the previous process ended, or nil if there is
// none.
func (d *durableState) storedPolicy() []byte {
	if d == nil || d.store == nil {
		return nil
	}
	r, ok, err := d.store.Get(recordlog.Rollout, keyCurrent)
	var doc wire.Document
	if err != nil || !ok || proto.Unmarshal(r.Value, &doc) != nil {
		return nil
	}
	return doc.Text
}
