package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/peering"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Order is what a process of hollow gatherers is told, a line of JSON each; it answers each with a Report.
type Order struct {
	Do       string // make, start, leave, expect, read, collect
	Template []byte // make: an operator's file
	Places   []Place
	Version  string
	Busy     int    // teams
	Which    []int  // start, leave: of its places
	Names    string // expect: with commas between; empty: nothing more
	Present  bool
	Number   uint64 // read: the version whose installs are asked for
}

// Report is how a process of hollow gatherers stands.
type Report struct {
	Fault            string
	Hollow           []Stand
	At               int64 // Unix microseconds
	CPU              int64 // microseconds, user and system, of the whole process
	Heap, Stack, RSS int64 // bytes
	Goroutines       int
}

// Stand is how one hollow gatherer stands.
type Stand struct {
	Name         string
	Runs         bool
	Alive        int
	Digest       uint64
	Number       uint64
	Admits       bool
	Installed    int64 // when the version asked for was put in force first, in Unix microseconds; 0: not
	Times        int   // how often
	Known        int64 // when what was expected had come; 0: not yet
	View, Policy peering.Traffic
}

// Serve is a process of hollow gatherers: it carries out orders until they end, and then ends without a word to others.
func Serve(in io.Reader, out io.Writer) error {
	lines, answers := bufio.NewReader(in), json.NewEncoder(out)
	log := logging.New(io.Discard, "text", slog.LevelInfo).Logger()
	var all []*hollow
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var o Order
		var r Report
		if err := json.Unmarshal(line, &o); err != nil {
			return fmt.Errorf("order: %w", err)
		}
		if err := carryOut(o, &all, log); err != nil {
			r.Fault = err.Error()
		}
		if o.Do == "read" || o.Do == "collect" {
			r = read(o, all)
		}
		if err := answers.Encode(r); err != nil {
			return err
		}
	}
}

func carryOut(o Order, all *[]*hollow, log *slog.Logger) error {
	switch o.Do {
	case "make":
		for _, p := range o.Places {
			h, err := newHollow(o.Template, p, o.Version, o.Busy, log)
			if err != nil {
				return err
			}
			*all = append(*all, h)
		}
	case "start":
		for _, i := range o.Which {
			if h := (*all)[i]; h.view == nil {
				if err := h.start(); err != nil {
					return err
				}
			}
		}
	case "leave":
		for _, i := range o.Which {
			(*all)[i].leave()
		}
	case "expect":
		for _, h := range *all {
			h.expecting(o.Names, o.Present)
		}
	case "collect":
		runtime.GC()
	case "read":
	default:
		return fmt.Errorf("order %q", o.Do)
	}
	return nil
}

func read(o Order, all []*hollow) (r Report) {
	for _, h := range all {
		r.Hollow = append(r.Hollow, h.stand(o.Number))
	}
	var m runtime.MemStats
	if o.Do == "collect" {
		runtime.ReadMemStats(&m)
		r.Heap, r.Stack = int64(m.HeapAlloc), int64(m.StackInuse)
	}
	r.RSS, r.Goroutines = resident(os.Getpid()), runtime.NumGoroutine()
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		r.CPU = u.Utime.Sec*1e6 + u.Utime.Usec + u.Stime.Sec*1e6 + u.Stime.Usec
	}
	r.At = time.Now().UnixMicro()
	return r
}

// resident is a process's memory in bytes, as the system tells it; 0 where it is gone.
func resident(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	words := strings.Fields(string(text))
	if len(words) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// clockTick is the unit of times in /proc: 10 ms on Linux, whatever the kernel counts by.
const clockTick = 10_000

// processor is a process's time on processors in microseconds, user and system; 0 where it is gone.
func processor(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold spaces
	words := strings.Fields(rest)
	if len(words) < 13 {
		return 0
	}
	user, err := strconv.ParseInt(words[11], 10, 64)
	system, err2 := strconv.ParseInt(words[12], 10, 64)
	if err != nil || err2 != nil {
		return 0
	}
	return (user + system) * clockTick
}
