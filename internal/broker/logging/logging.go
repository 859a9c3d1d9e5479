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

// Debug logs what helps to find a fault. Fields are names and values in turn.
func Debug(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelDebug, e, fields) }

// Info logs rare events of normal operation.
func Info(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelInfo, e, fields) }

// Warn logs faults from which the program recovers by itself.
func Warn(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelWarn, e, fields) }

// Error logs faults that need an operator.
func Error(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelError, e, fields) }

func write(l *slog.Logger, level slog.Level, e Name, fields []any) {
	l.Log(context.Background(), level, string(e), fields...)
}

// Output is a program's log. Its format and its level may be changed while it runs. It is safe for concurrent use.
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
	suppressed int // since the last line that was written
}

// New returns a log that writes to w. format is text (key=value) or json.
func New(w io.Writer, format string, level slog.Level) *Output {
	o := &Output{w: w, counts: map[Name]*rate{}}
	o.level.Set(level)
	o.SetFormat(format)
	return o
}

// Logger returns the logger that packages log with.
func (o *Output) Logger() *slog.Logger { return slog.New(sampler{o: o}) }

// SetFormat sets the form of lines: text or json.
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

// SetLevel sets the lowest level that is written: debug, info, warn or error.
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

// renameKeys sets the names of the keys that every line has.
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

// admit reports whether an event is written now, and how many of its lines were suppressed since the last one that was written.
func (o *Output) admit(e Name, now time.Time) (h slog.Handler, missed int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	most, bounded := maxPerSecond[e]
	if !bounded {
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
	if c.written >= most {
		c.suppressed++
		return nil, 0, false
	}
	c.written++
	missed, c.suppressed = c.suppressed, 0
	return o.handler, missed, true
}

// sampler is the handler of Output.Logger. It keeps attributes itself, since the handler behind it may change.
type sampler struct {
	o     *Output
	attrs []slog.Attr
}

// Enabled implements slog.Handler.
func (s sampler) Enabled(_ context.Context, l slog.Level) bool { return l >= s.o.level.Level() }

// Handle implements slog.Handler. It drops lines of events that are too frequent.
func (s sampler) Handle(ctx context.Context, r slog.Record) error {
	h, missed, ok := s.o.admit(Name(r.Message), r.Time)
	if !ok {
		return nil
	}
	r.AddAttrs(s.attrs...)
	if missed > 0 {
		r.AddAttrs(slog.Int("unwritten", missed))
	}
	return h.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	s.attrs = append(s.attrs[:len(s.attrs):len(s.attrs)], attrs...)
	return s
}

// WithGroup implements slog.Handler. Groups are ignored: fields have flat names.
func (s sampler) WithGroup(string) slog.Handler { return s }
