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

// Command is a request to a process of simulated gatherers, one line of JSON. The process answers
// each with a Report.
type Command struct {
	Do       string // make, start, leave, expect, read, collect
	Template []byte // make: the operator's file to start from
	Places   []GathererSpec
	Version  string
	Busy     int    // number of busy teams
	Which    []int  // start, leave: indices into Places
	Names    string // expect: separated by commas; empty clears the expectation
	Present  bool
	Number   uint64 // read: the version whose installations are reported
}

// Report is the state of a process of simulated gatherers.
type Report struct {
	Fault            string
	Hollow           []GathererState
	At               int64 // Unix microseconds
	CPU              int64 // microseconds, user and system, of the whole process
	Heap, Stack, RSS int64 // bytes
	Goroutines       int
}

// GathererState is the state of one simulated gatherer.
type GathererState struct {
	Name         string
	Runs         bool
	Alive        int
	Digest       uint64
	Number       uint64
	Admits       bool
	Installed    int64 // first installation of the requested version, in Unix microseconds; 0: none
	Times        int   // number of installations
	Known        int64 // when the expectation was fulfilled, in Unix microseconds; 0: not yet
	View, Policy peering.Traffic
}

// Serve runs a process of simulated gatherers. It executes commands until the input ends, then
// returns without sending leave messages.
func Serve(in io.Reader, out io.Writer) error {
	lines, answers := bufio.NewReader(in), json.NewEncoder(out)
	log := logging.New(io.Discard, "text", slog.LevelInfo).Logger()
	var all []*simulatedGatherer
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var o Command
		var r Report
		if err := json.Unmarshal(line, &o); err != nil {
			return fmt.Errorf("scale: decode command: %w", err)
		}
		if err := execute(o, &all, log); err != nil {
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

func execute(o Command, all *[]*simulatedGatherer, log *slog.Logger) error {
	switch o.Do {
	case "make":
		for _, p := range o.Places {
			h, err := newSimulatedGatherer(o.Template, p, o.Version, o.Busy, log)
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
			h.setExpectation(o.Names, o.Present)
		}
	case "collect":
		runtime.GC()
	case "read":
	default:
		return fmt.Errorf("scale: unknown command %q", o.Do)
	}
	return nil
}

func read(o Command, all []*simulatedGatherer) (r Report) {
	for _, h := range all {
		r.Hollow = append(r.Hollow, h.status(o.Number))
	}
	var m runtime.MemStats
	if o.Do == "collect" {
		runtime.ReadMemStats(&m)
		r.Heap, r.Stack = int64(m.HeapAlloc), int64(m.StackInuse)
	}
	r.RSS, r.Goroutines = residentBytes(os.Getpid()), runtime.NumGoroutine()
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		r.CPU = u.Utime.Sec*1e6 + u.Utime.Usec + u.Stime.Sec*1e6 + u.Stime.Usec
	}
	r.At = time.Now().UnixMicro()
	return r
}

// residentBytes returns a process's resident memory in bytes according to /proc, or 0 if the
// process is gone.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// clockTick is the unit of CPU times in /proc in microseconds: 10 ms on Linux, independent of the
// kernel's timer frequency.
const clockTick = 10_000

// cpuMicros returns a process's CPU time, user and system, in microseconds, or 0 if the process is
// gone.
func cpuMicros(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	if err != nil || err2 != nil {
		return 0
	}
	return (user + system) * clockTick
}
