package adminapi

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// stat is one metric in the answer to the call stats.
type stat struct {
	name  string
	kind  statKind
	value int64
}

// statKind is the type of a metric in statsd format.
type statKind string

const (
	counter statKind = "c"
	gauge   statKind = "g"
)

// appendStats appends one line for each metric, with a prefix to its name.
func appendStats(dst []byte, prefix string, stats ...stat) []byte {
	for _, s := range stats {
		dst = fmt.Appendf(dst, "%s.%s:%d|%s\n", prefix, s.name, s.value, s.kind)
	}
	return dst
}

// Stats appends one line for each metric in statsd format. It calls the functions in m without the
// lock, since they may wait for a goroutine that needs the lock to count.
func (m *Metrics) Stats(dst []byte) []byte {
	m.mu.RLock()
	classes := maps.Clone(m.classes)
	m.mu.RUnlock()
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		dst = classes[name].appendTo(dst, name)
	}
	dst = appendStats(dst, "svc",
		stat{"relayed", counter, m.Relayed.Load()},
		stat{"open_requests", gauge, m.OpenRequests.Load()},
		stat{"registry_entries", gauge, m.KnownServers.Load()},
		stat{"out_of_rotation", gauge, m.EjectedServers.Load()},
		stat{"cfg_accepted", counter, m.ConfigAccepted.Load()},
		stat{"cfg_invalid", counter, m.ConfigRejected.Load()},
	)
	if panics := m.Panics.Load(); panics > 0 { // printed only after a panic, since each is a bug in the program
		dst = appendStats(dst, "svc", stat{"panics", counter, panics})
	}
	if m.Cursors != nil {
		dst = fmt.Appendf(dst, "svc.cursors.open:%d|g\n", m.Cursors())
	}
	if m.Store != nil {
		dst = m.Store().appendTo(dst)
	}
	if m.Fleet != nil {
		dst = m.Fleet().appendTo(dst)
	}
	if m.Rollout != nil {
		dst = m.Rollout().appendTo(dst)
	}
	if m.LayoutCounts != nil {
		dst = m.LayoutCounts.appendTo(dst)
	}
	return dst
}

func (a *answerCounts) appendTo(dst []byte, class string) []byte {
	return appendStats(dst, "svc.operations."+sanitizeName(class),
		stat{"fulfilled", counter, a.fulfilled.Load()},
		stat{"throttled", counter, a.throttled.Load()},
		stat{"faulted", counter, a.faulted.Load()},
	)
}

func (s StoreMetrics) appendTo(dst []byte) []byte {
	return appendStats(dst, "svc.store",
		stat{"bytes", gauge, s.Bytes},
		stat{"keys", gauge, s.Keys},
		stat{"open", gauge, s.OpenQueries},
		stat{"unknown", gauge, s.LostSpans},
		stat{"failing", gauge, s.Failing},
		stat{"appends", counter, s.Appends},
		stat{"syncs", counter, s.Syncs},
		stat{"failed", counter, s.Failed},
		stat{"cleaned", counter, s.CleanedSegments},
	)
}

func (f FleetMetrics) appendTo(dst []byte) []byte {
	dst = appendStats(dst, "svc.fleet",
		stat{"alive", gauge, f.Alive},
		stat{"reckon", gauge, f.EffectiveSize},
		stat{"suspected", gauge, f.Suspected},
		stat{"dead", gauge, f.Dead},
		stat{"ill", gauge, f.HealthScore},
		stat{"twin", gauge, f.NameConflict},
		stat{"sent", counter, f.Sent},
		stat{"received", counter, f.Received},
		stat{"dropped", counter, f.Dropped},
		stat{"bytes", counter, f.Bytes},
		stat{"exchanges", counter, f.Exchanges},
		stat{"unanswered", counter, f.FailedProbes},
		stat{"accused", counter, f.Suspicions},
		stat{"refuted", counter, f.Refutations},
		stat{"died", counter, f.Deaths},
		stat{"naps", counter, f.Stalls},
		stat{"full", counter, f.DroppedByLimit},
	)
	return f.Traffic.appendTo(dst, "svc.fleet")
}

func (r RolloutMetrics) appendTo(dst []byte) []byte {
	dst = appendStats(dst, "svc.rollout",
		stat{"number", gauge, r.Number},
		stat{"admits", gauge, r.Admits},
		stat{"holding", gauge, r.Paused},
		stat{"lease_ms", gauge, r.LeaseMs},
		stat{"leads", gauge, r.Leads},
	)
	if g := r.Region; g != nil {
		dst = fmt.Appendf(dst, "svc.rollout.behind:%d|g\nsvc.rollout.apart_ms:%d|g\nsvc.rollout.leads_global:%d|g\n", g.Behind, g.IsolatedMs, g.Leads)
	}
	return r.Traffic.appendTo(dst, "svc.rollout")
}

func (t TrafficMetrics) appendTo(dst []byte, prefix string) []byte {
	return appendStats(dst, prefix,
		stat{"words_sent", counter, t.Sent},
		stat{"words_received", counter, t.Received},
		stat{"bytes_sent", counter, t.SentBytes},
		stat{"bytes_received", counter, t.ReceivedBytes},
		stat{"bytes_of_shares", counter, t.QuotaBytes},
		stat{"links", gauge, t.Links},
	)
}

func (l *LayoutMetrics) appendTo(dst []byte) []byte {
	return appendStats(dst, "svc.layout",
		stat{"epoch", gauge, l.Epoch.Load()},
		stat{"ranges", gauge, l.Ranges.Load()},
		stat{"changes", gauge, l.Changes.Load()},
		stat{"stalled", gauge, l.Stalled.Load()},
		stat{"taken", counter, l.Accepted.Load()},
		stat{"refused", counter, l.Rejected.Load()},
		stat{"replanned", counter, l.Replanned.Load()},
		stat{"misplaced", counter, l.Misplaced.Load()},
	)
}

// sanitizeName replaces characters that are special in statsd format, spaces and control characters by
// underscores.
func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == ':' || r == '|' || r == '@' || r == 0x7f {
			return '_'
		}
		return r
	}, name)
}
