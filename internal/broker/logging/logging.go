package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Debug logs an event that helps to diagnose a fault. Fields are alternating names and values.
func Debug(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelDebug, e, fields) }

// Info logs a rare event of normal operation.
func Info(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelInfo, e, fields) }

// Warn logs a fault from which the program recovers by itself.
func Warn(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelWarn, e, fields) }

// Error logs a fault that needs an operator's action.
func Error(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelError, e, fields) }

func write(l *slog.Logger, level slog.Level, e Name, fields []any) {
	l.Log(context.Background(), level, string(e), fields...)
}

// Output is the log of a program. Its format and level can be changed at any time. It is safe for
// concurrent use.
type Output struct {
	level slog.LevelVar

	mu      sync.Mutex
	counts  map[Name]*rate
	format  string
	handler slog.Handler
	w       io.Writer
}

// rate counts the lines of one event within a second.
type rate struct {
	since      time.Time
	written    int
	suppressed int // since the last line written
}

// New returns a log that writes to w. format is text (key=value) or json, level the minimum level
// of lines.
func New(w io.Writer, format string, level slog.Level) *Output {
	o := &Output{w: w, counts: map[Name]*rate{}}
	o.level.Set(level)
	o.SetFormat(format)
	return o
}

// Logger returns a logger that writes to the log.
func (o *Output) Logger() *slog.Logger { return slog.New(sampler{o: o}) }

// SetFormat sets the format of lines: text or json.
func (o *Output) SetFormat(format string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if format == o.format {
		return
	}
	o.format = format
	opts := &slog.HandlerOptions{Level: &o.level, ReplaceAttr: renameKeys}
	if o.handler = slog.Handler(slog.NewTextHandler(o.w, opts)); format == "json" {
		o.handler = slog.NewJSONHandler(o.w, opts)
	}
}

// SetLevel sets the minimum level of lines: debug, info, warn or error.
func (o *Output) SetLevel(name string) error {
	var l slog.Level
	switch name {
	case "debug", "info", "warn", "error":
		if err := l.UnmarshalText([]byte(name)); err != nil {
			return err
		}
	default:
		return fmt.Errorf("want debug, info, warn or error, not %.20q", name)
	}
	o.level.Set(l)
	return nil
}

// renameKeys replaces the default names and forms of the keys that every line has.
func renameKeys(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.LevelKey:
		return slog.String(a.Key, strings.ToLower(a.Value.String()))
	case slog.MessageKey:
		a.Key = "event"
	}
	return a
}

// admit reports whether a line of an event may be written now. It returns the handler to write it
// with and the number of lines of the event that were suppressed since the last one written.
func (o *Output) admit(e Name, now time.Time) (h slog.Handler, suppressed int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit, limited := maxPerSecond[e]
	if !limited {
		return o.handler, 0, true
	}
	c := o.counts[e]
	if c == nil {
		c = &rate{since: now}
		o.counts[e] = c
	}
	if now.Sub(c.since) >= time.Second {
		c.since, c.written = now, 0
	}
	if c.written >= limit {
		c.suppressed++
		return nil, 0, false
	}
	c.written++
	suppressed, c.suppressed = c.suppressed, 0
	return o.handler, suppressed, true
}

// sampler is the handler of Output.Logger. It keeps the attributes itself, since the handler of the
// output may be replaced.
type sampler struct {
	o     *Output
	attrs []slog.Attr
}

// Enabled implements slog.Handler.
func (s sampler) Enabled(_ context.Context, l slog.Level) bool { return l >= s.o.level.Level() }

// Handle implements slog.Handler. It drops lines above the limit in maxPerSecond.
func (s sampler) Handle(ctx context.Context, r slog.Record) error {
	h, suppressed, ok := s.o.admit(Name(r.Message), r.Time)
	if !ok {
		return nil
	}
	r.AddAttrs(s.attrs...)
	if suppressed > 0 {
		r.AddAttrs(slog.Int("unwritten", suppressed))
	}
	return h.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	s.attrs = append(s.attrs[:len(s.attrs):len(s.attrs)], attrs...)
	return s
}

// WithGroup implements slog.Handler. Groups are ignored, since field names are flat.
func (s sampler) WithGroup(string) slog.Handler { return s }
