// Package logging is the one place that names what the program logs: events and their fields, how lines are written, and how many. It
// rides on log/slog. It must never be handed values of clients' data.
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

// Debug, Info, Warn and Error log an event with its fields, as names and values in turn.
func Debug(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelDebug, e, fields) }

// Info logs what is as it should be, and rare.
func Info(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelInfo, e, fields) }

// Warn logs what the program makes up for by itself.
func Warn(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelWarn, e, fields) }

// Error logs what somebody has to look at.
func Error(l *slog.Logger, e Name, fields ...any) { write(l, slog.LevelError, e, fields) }

func write(l *slog.Logger, level slog.Level, e Name, fields []any) {
	l.Log(context.Background(), level, string(e), fields...)
}

// Output is a program's log: its format and its level may be changed while it runs.
type Output struct {
	level slog.LevelVar

	mu      sync.Mutex
	counts  map[Name]*count
	format  string
	handler slog.Handler
	w       io.Writer
}

// count is how much of an event was written within a second, and how much was not.
type count struct {
	since          time.Time
	written, spare int
}

// New makes a log that writes to w. format is text (key=value) or json.
func New(w io.Writer, format string, level slog.Level) *Output {
	o := &Output{w: w, counts: map[Name]*count{}}
	o.level.Set(level)
	o.Format(format)
	return o
}

// Logger is what packages log with.
func (o *Output) Logger() *slog.Logger { return slog.New(sampler{o: o}) }

// Format changes how lines are written: text or json.
func (o *Output) Format(format string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if format == o.format {
		return
	}
	o.format = format
	opts := &slog.HandlerOptions{Level: &o.level, ReplaceAttr: replace}
	if o.handler = slog.Handler(slog.NewTextHandler(o.w, opts)); format == "json" {
		o.handler = slog.NewJSONHandler(o.w, opts)
	}
}

// Level changes what is written: debug, info, warn or error and what is above it.
func (o *Output) Level(name string) error {
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

// replace words the keys that every line has.
func replace(groups []string, a slog.Attr) slog.Attr {
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

// take tells whether an event is written now, and how many of it were not since the last one that was.
func (o *Output) take(e Name, now time.Time) (h slog.Handler, missed int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	most, bounded := often[e]
	if !bounded {
		return o.handler, 0, true
	}
	c := o.counts[e]
	if c == nil {
		c = &count{since: now}
		o.counts[e] = c
	}
	if now.Sub(c.since) >= time.Second {
		c.since, c.written = now, 0
	}
	if c.written >= most {
		c.spare++
		return nil, 0, false
	}
	c.written++
	missed, c.spare = c.spare, 0
	return o.handler, missed, true
}

// sampler is the handler that packages write to. It keeps attributes of its own, since the handler behind it may change.
type sampler struct {
	o     *Output
	attrs []slog.Attr
}

func (s sampler) Enabled(_ context.Context, l slog.Level) bool { return l >= s.o.level.Level() }

func (s sampler) Handle(ctx context.Context, r slog.Record) error {
	h, missed, ok := s.o.take(Name(r.Message), r.Time)
	if !ok {
		return nil
	}
	r.AddAttrs(s.attrs...)
	if missed > 0 {
		r.AddAttrs(slog.Int("unwritten", missed))
	}
	return h.Handle(ctx, r)
}

func (s sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	s.attrs = append(s.attrs[:len(s.attrs):len(s.attrs)], attrs...)
	return s
}

// WithGroup is not used: fields have flat names.
func (s sampler) WithGroup(string) slog.Handler { return s }
