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

// Change is what came of one change of the policy.
type Change struct {
	Number   uint64
	Bytes    int             // of the document
	Answered time.Duration   // from the first proposal until the proposer was told that it is in force
	Last     time.Duration   // from the first proposal to the last: what refusals took
	At       []time.Duration // from the first proposal until it was in force at each gatherer that runs, hollow and real, in order
	Slowest  string          // where it was in force last
	Times    int             // it was put in force, over all
	Refused  []string        // why it was proposed again
	proposed int64           // first, in Unix microseconds
}

// Most is until it was in force everywhere.
func (c Change) Most() time.Duration {
	if len(c.At) == 0 {
		return 0
	}
	return c.At[len(c.At)-1]
}

// document is a policy that differs from others by a number.
func (r *Rig) document(n uint64) []byte {
	text, err := config.PolicyOf(r.template)
	var v map[string]any
	if err == nil {
		err = json.Unmarshal(text, &v)
	}
	if err == nil {
		v["settings"].(map[string]any)["permissions"].(map[string]any)["max_open"] = 1000 + n
		text, err = json.Marshal(v)
	}
	if err != nil {
		r.t.Fatalf("policy: %v", err)
	}
	return text
}

// Change changes the policy, and waits until all that run have it in force. A proposal that is refused is proposed again, for as long as the
// rig is patient.
func (r *Rig) Change() (c Change) {
	r.t.Helper()
	c.proposed = time.Now().UnixMicro()
	since := func() time.Duration { return time.Duration(time.Now().UnixMicro()-c.proposed) * time.Microsecond }
	text := r.document(r.nonce%10_000 + 1)
	c.Bytes = len(text)
	for c.Number == 0 {
		r.nonce++
		c.Last = since()
		a := r.propose(&wire.Propose{Nonce: r.nonce, Base: r.base, Text: text, By: "scale"})
		switch {
		case a.End == 1:
			c.Number, r.base, c.Answered = a.Number, a.Number, since()
		case len(c.Refused) == 20:
			r.t.Fatalf("a change was refused 20 times in %s: %v", since(), c.Refused)
		default:
			c.Refused = append(c.Refused, a.Reason)
			if _, rest, ok := strings.Cut(a.Reason, "and version "); ok { // it was decided after all
				fmt.Sscanf(rest, "%d", &r.base)
			}
		}
	}
	r.t.Logf("version %d answered after %s, of which %s for %d refusals: %v", c.Number, c.Answered.Round(time.Millisecond), c.Last.Round(time.Millisecond), len(c.Refused), c.Refused)
	took := func(name string, at int64) {
		d := time.Duration(at-c.proposed) * time.Microsecond
		if len(c.At) == 0 || d > slices.Max(c.At) {
			c.Slowest = name
		}
		c.At = append(c.At, d)
	}
	r.g.Until(fmt.Sprintf("version %d in force everywhere", c.Number), func() (string, bool) {
		c.At, c.Times = nil, 0
		missing := ""
		for _, x := range r.Read(c.Number).Hollow() {
			switch {
			case !x.Runs:
			case x.Installed == 0 && x.Number < c.Number:
				missing = x.Name
			case x.Installed > 0:
				took(x.Name, x.Installed)
				c.Times += x.Times
			}
		}
		for i, m := range r.g.Members {
			if m.Process == nil {
				continue
			}
			at := r.inForce(i, c.Number)
			if len(at) == 0 {
				missing = m.Name
				continue
			}
			took(m.Name, at[0])
			c.Times += len(at)
		}
		time.Sleep(50 * time.Millisecond) // between two looks
		return "missing at " + missing, missing == ""
	})
	slices.Sort(c.At)
	r.t.Logf("version %d is in force at all of %d after %s, last at %s", c.Number, len(c.At), c.Most().Round(time.Millisecond), c.Slowest)
	return c
}

// propose asks voters one after the other until the end of a proposal is known.
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
		time.Sleep(5 * time.Millisecond) // between two asks
	}
	r.t.Fatalf("the end of a proposal is not known after a minute")
	return nil
}

var inForce = regexp.MustCompile(`^time=(\S+) .*event=rollout_in_force number=(\d+)`)

// inForce is when a real process put a version in force, in Unix microseconds, as its log says.
func (r *Rig) inForce(i int, number uint64) (at []int64) {
	want := fmt.Sprint(number)
	for _, line := range r.g.Members[i].Lines() {
		if m := inForce.FindStringSubmatch(line); m != nil && m[2] == want {
			if when, err := time.Parse(time.RFC3339Nano, m[1]); err == nil {
				at = append(at, when.UnixMicro())
			}
		}
	}
	return at
}

// Adopt puts the files' policy in force as the first version.
func (r *Rig) Adopt() { r.t.Helper(); r.Change() }

// Expect has everybody that is hollow look out for members that are gone, or present again.
func (r *Rig) Expect(names []string, present bool) {
	r.each(func(p *process) { p.call(Order{Do: "expect", Names: strings.Join(names, ","), Present: present}) })
}

// Known waits until all hollow gatherers that run have seen what they were told to expect, and gives how long after a time each had.
func (r *Rig) Known(what string, since int64) (all []time.Duration) {
	r.t.Helper()
	r.g.Until(what+" known to all", func() (string, bool) {
		all = nil
		missing := 0
		for _, x := range r.Read(0).Hollow() {
			switch {
			case !x.Runs:
			case x.Known == 0:
				missing++
			default:
				all = append(all, time.Duration(x.Known-since)*time.Microsecond)
			}
		}
		time.Sleep(200 * time.Millisecond) // between two looks
		return fmt.Sprintf("%d do not know", missing), missing == 0
	})
	slices.Sort(all)
	return all
}
