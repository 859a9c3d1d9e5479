//go:build review

// Command rig plays the cases of the review: it starts the roles of deploy/system.toml as separate
// processes on loopback addresses, with small stand-ins for workers, the operator, trainers and
// clients, and checks what these see. review/N/run.sh starts it.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun means that a case could not be played to its end.
var errNotRun = errors.New("the case could not run")

// scene is one play of a case. It returns what broke the rule; none if the rule held.
type scene func(p *play) (broken []string, err error)

var scenes = map[string]scene{
	"new-route":    newRoute,
	"half-event":   halfEvent,
	"taken-twice":  takenTwice,
	"late-stop":    lateStop,
	"many-workers": manyWorkers,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Println("failed", err)
			os.Exit(exitNotRun)
		}
		return
	}
	name := flag.String("scene", "", "what to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runScene(*name, *record))
}

// runScene plays a scene and returns the exit code.
func runScene(name, record string) int {
	run := scenes[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown scene", name)
		return exitNotRun
	}
	p, err := newPlay(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer p.close()
	p.endInTime()
	broken, err := run(p)
	switch {
	case err != nil:
		p.note("NOT RUN: %v", err)
		p.noteLogs()
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			p.note("BROKEN: %s", b)
		}
		return exitBroken
	}
	p.note("HELD")
	return exitHeld
}

// playLimit is the longest time that a script may run.
const playLimit = 115 * time.Second

// endInTime ends the play, with all its processes, on a signal or after the limit.
func (p *play) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(playLimit):
		}
		p.note("NOT RUN: ended early")
		p.close()
		os.Exit(exitNotRun)
	}()
}

// noteLogs copies the ends of the processes' logs into the record, for a case that could not run.
func (p *play) noteLogs() {
	logs, _ := filepath.Glob(filepath.Join(p.dir, "*.log")) // the pattern is valid
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		p.note("log %s: %s", filepath.Base(path), strings.ReplaceAll(string(text[max(0, len(text)-600):]), "\n", " | "))
	}
}

// await polls a condition until it returns nil.
func (p *play) await(what string, limit time.Duration, condition func() error) error {
	began := time.Now()
	for {
		err := condition()
		if err == nil {
			p.note("%s (after %.1f s)", what, time.Since(began).Seconds())
			return nil
		}
		if time.Since(began) > limit {
			return fmt.Errorf("%w: %s: %w", errNotRun, what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
