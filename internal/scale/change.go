package scale

import (
	"encoding/json"
	"fmt"
	"regexp"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strings"
	"time"
)

// Change is the measured result of one policy change.
type Change struct {
	Number        uint64
	Bytes         int             // size of the document
	Answered      time.Duration   // from the first proposal until the proposer got the decision
	RefusalDelay  time.Duration   // from the first proposal to the accepted one: time lost to refusals
	InstallDelays []time.Duration // per running gatherer, simulated and real, sorted: from the first proposal to its installation
	Slowest       string          // name of the gatherer that installed it last
	Installs      int             // installations, over all gatherers
	Refused       []string        // reasons of refused proposals
	proposed      int64           // Unix microseconds of the first proposal
}

// Total returns the time until the last gatherer had installed the change.
func (c Change) Total() time.Duration {
	if len(c.InstallDelays) == 0 {
		return 0
	}
	return c.InstallDelays[len(c.InstallDelays)-1]
}

// policyDocument returns a policy that differs from others only in one number.
func (r *Rig) policyDocument(n uint64) []byte {
	text, err := config.ExtractPolicy(r.template)
	var v map[string]any
	if err == nil {
		err = json.Unmarshal(text, &v)
	}
	if err == nil {
		v["settings"].(map[string]any)["permissions"].(map[string]any)["max_open"] = 1000 + n
		text, err = json.Marshal(v)
	}
	if err != nil {
		r.t.Fatalf("encode policy document: %v", err)
	}
	return text
}

// Change proposes a new policy and waits until every running gatherer has installed it. A refused
// proposal is repeated, at most 20 times.
func (r *Rig) Change() (c Change) {
	r.t.Helper()
	c.proposed = time.Now().UnixMicro()
	since := func() time.Duration { return time.Duration(time.Now().UnixMicro()-c.proposed) * time.Microsecond }
	text := r.policyDocument(r.nonce%10_000 + 1)
	c.Bytes = len(text)
	for c.Number == 0 {
		r.nonce++
		c.RefusalDelay = since()
		a := r.propose(&wire.Propose{Nonce: r.nonce, Base: r.base, Text: text, By: "scale"})
		switch {
		case a.End == 1:
			c.Number, r.base, c.Answered = a.Number, a.Number, since()
		case len(c.Refused) == 20:
			r.t.Fatalf("policy change refused 20 times in %s, giving up: %v", since(), c.Refused)
		default:
			c.Refused = append(c.Refused, a.Reason)
			if _, rest, ok := strings.Cut(a.Reason, "and version "); ok { // the previous proposal was committed after all
				fmt.Sscanf(rest, "%d", &r.base)
			}
		}
	}
	r.t.Logf("version %d decided after %s, of which %s were spent on %d refused proposals: %v", c.Number, c.Answered.Round(time.Millisecond), c.RefusalDelay.Round(time.Millisecond), len(c.Refused), c.Refused)
	record := func(name string, at int64) {
		d := time.Duration(at-c.proposed) * time.Microsecond
		if len(c.InstallDelays) == 0 || d > slices.Max(c.InstallDelays) {
			c.Slowest = name
		}
		c.InstallDelays = append(c.InstallDelays, d)
	}
	r.g.Until(fmt.Sprintf("version %d in force everywhere", c.Number), func() (string, bool) {
		c.InstallDelays, c.Installs = nil, 0
		missing := ""
		for _, x := range r.Read(c.Number).Simulated() {
			switch {
			case !x.Runs:
			case x.Installed == 0 && x.Number < c.Number:
				missing = x.Name
			case x.Installed > 0:
				record(x.Name, x.Installed)
				c.Installs += x.Times
			}
		}
		for i, m := range r.g.Members {
			if m.Process == nil {
				continue
			}
			at := r.installedAt(i, c.Number)
			if len(at) == 0 {
				missing = m.Name
				continue
			}
			record(m.Name, at[0])
			c.Installs += len(at)
		}
		time.Sleep(50 * time.Millisecond) // polling interval
		return "not installed at " + missing, missing == ""
	})
	slices.Sort(c.InstallDelays)
	r.t.Logf("version %d in force at all %d gatherers after %s, last at %s", c.Number, len(c.InstallDelays), c.Total().Round(time.Millisecond), c.Slowest)
	return c
}

// propose sends a proposal to one voter after the other until its decision is known, for at most a
// minute.
func (r *Rig) propose(x *wire.Propose) *wire.Answer {
	r.t.Helper()
	for i, end := 0, time.Now().Add(time.Minute); time.Now().Before(end); {
		at := r.g.PolicyAt(i % r.cfg.Voters)
		if !at.IsValid() {
			i++
			continue
		}
		a, err := peering.CallPolicyNode(at, x, time.Second)
		switch {
		case err != nil || a.End == 3:
			i++
		case a.End != 0:
			return a
		}
		time.Sleep(5 * time.Millisecond) // retry interval
	}
	r.t.Fatalf("policy proposal: no voter returned a decision within 1m")
	return nil
}

var installedLine = regexp.MustCompile(`^time=(\S+) .*event=rollout_in_force number=(\d+)`)

// installedAt returns when a real process installed a version, in Unix microseconds, read from its
// log.
func (r *Rig) installedAt(i int, number uint64) (at []int64) {
	want := fmt.Sprint(number)
	for _, line := range r.g.Members[i].Lines() {
		if m := installedLine.FindStringSubmatch(line); m != nil && m[2] == want {
			if when, err := time.Parse(time.RFC3339Nano, m[1]); err == nil {
				at = append(at, when.UnixMicro())
			}
		}
	}
	return at
}

// InstallFirstPolicy installs the policy of the operators' files as the first version.
func (r *Rig) InstallFirstPolicy() { r.t.Helper(); r.Change() }

// ExpectMembers makes every simulated gatherer record when its view shows all the named members as
// present, or as absent.
func (r *Rig) ExpectMembers(names []string, present bool) {
	r.forEachProcess(func(p *process) { p.call(Command{Do: "expect", Names: strings.Join(names, ","), Present: present}) })
}

// WaitKnown waits until the view of every running simulated gatherer matches the last
// ExpectMembers, and returns the sorted delays after since (Unix microseconds).
func (r *Rig) WaitKnown(what string, since int64) (all []time.Duration) {
	r.t.Helper()
	r.g.Until(what+" known to all", func() (string, bool) {
		all = nil
		missing := 0
		for _, x := range r.Read(0).Simulated() {
			switch {
			case !x.Runs:
			case x.Known == 0:
				missing++
			default:
				all = append(all, time.Duration(x.Known-since)*time.Microsecond)
			}
		}
		time.Sleep(200 * time.Millisecond) // polling interval
		return fmt.Sprintf("%d simulated gatherers have not seen it yet", missing), missing == 0
	})
	slices.Sort(all)
	return all
}
