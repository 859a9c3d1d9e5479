package main

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os/user"
	"reflect"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// proposal is what the flags of propose and adopt say.
type proposal struct {
	at     []string
	base   int64
	wait   time.Duration
	dry    bool
	abort  bool
	keep   bool
	region string              // whose voters are asked; empty: the fleet's, with regions the global agreement's
	turn   func(*wire.Propose) // what else it says
	what   string              // of roster or voters, once it is made; empty: a version
}

func (c *cli) policy() *cobra.Command {
	parent := &cobra.Command{
		Use: "policy", Short: "Show the policy's versions, and change them everywhere or nowhere",
		Long: "A policy (the keys settings, tenants and contracts of the operator's file) takes hold at all gatherers or at none; with regions, while one is\n" +
			"cut off, in the others. Exit codes of propose, adopt and revert: 0 in force, with regions in all of them, 1 refused, 3 in doubt: the outcome is\n" +
			"not known yet, and 'policy status' tells it, 4 in force, but in some regions only.",
		Example: "  saffronquay policy status --door 127.0.0.1:9401\n  saffronquay policy propose new.json --door 127.0.0.1:9401 --file deploy/rollout.json",
	}
	parent.AddCommand(&cobra.Command{
		Use: "status", Short: "Show the version in force, what was decided and, at the leader, how each gatherer stands", Args: cobra.NoArgs,
		Example: "  saffronquay policy status --door 127.0.0.1:9401", RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("policy")
			if err != nil {
				return err
			}
			return c.print(parseAdminLines(text), func(w io.Writer) { io.WriteString(w, text) })
		},
	}, &cobra.Command{
		Use: "show", Short: "Print the document in force", Args: cobra.NoArgs, Example: "  saffronquay policy show --door 127.0.0.1:9401",
		RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("policy text")
			if err != nil {
				return err
			}
			_, err = io.WriteString(c.out, text)
			return err
		},
	})
	var p proposal
	propose := &cobra.Command{
		Use: "propose FILE", Short: "Propose a policy, and wait for its end", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy propose new.json --door 127.0.0.1:9401 --file deploy/rollout.json",
		RunE: func(_ *cobra.Command, words []string) error {
			text, err := c.readFile(words[0], "the policy")
			if err != nil {
				return err
			}
			return c.propose(p, text)
		},
	}
	adopt := &cobra.Command{
		Use: "adopt FILE", Short: "Propose the policy of an operator's file as the first version", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy adopt deploy/rollout.json --file deploy/rollout.json",
		RunE: func(_ *cobra.Command, words []string) error {
			file, err := c.readFile(words[0], "the operator's file")
			if err != nil {
				return err
			}
			text, err := config.PolicyOf(file)
			if err != nil {
				return failed(err)
			}
			p.base = 0
			return c.propose(p, text)
		},
	}
	for _, cmd := range []*cobra.Command{propose, adopt} {
		cmd.Flags().StringSliceVar(&p.at, "at", nil, "where voters agree on the policy (default: what the file says)")
		cmd.Flags().DurationVar(&p.wait, "wait", 10*time.Second, "how long to wait for the end")
		cmd.Flags().BoolVar(&p.dry, "dry-run", false, "have it judged by everybody, and put in force nowhere")
		parent.AddCommand(cmd)
	}
	revert := &cobra.Command{
		Use: "revert", Short: "Propose the version before the one in force, from a voter's door", Args: cobra.NoArgs,
		Example: "  saffronquay policy revert --door 127.0.0.1:9401 --file deploy/rollout.json", RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("policy previous")
			if err != nil {
				return err
			}
			if strings.TrimSpace(text) == "" {
				return failed(errors.New("there is no version before it, or this gatherer does not vote: ask a voter's door"))
			}
			p.base = -1
			return c.propose(p, []byte(strings.TrimSpace(text)))
		},
	}
	abort := &cobra.Command{
		Use: "abort NUMBER", Short: "Give the open proposal up, as long as no queries are held for it", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy abort 5 --file deploy/rollout.json", RunE: func(_ *cobra.Command, words []string) error {
			n, err := strconv.ParseInt(words[0], 10, 64)
			if err != nil || n < 1 {
				return fmt.Errorf("want the number of a version, not %q", words[0])
			}
			p.base, p.abort = n, true
			return c.propose(p, nil)
		},
	}
	parent.AddCommand(revert, abort, &cobra.Command{
		Use: "history", Short: "Show what was decided lately, from a voter's door", Args: cobra.NoArgs,
		Example: "  saffronquay policy history --door 127.0.0.1:9401", RunE: func(*cobra.Command, []string) error {
			text, err := c.callAdmin("policy")
			if err != nil {
				return err
			}
			var all []map[string]string
			for _, of := range parseAdminLines(text) {
				if of["kind"] == "decision" {
					all = append(all, of)
				}
			}
			return c.print(all, func(w io.Writer) {
				for _, of := range all {
					end := "in force"
					if of["in_force"] != "true" {
						end = "not in force: " + of["reason"]
					}
					what := of["what"]
					if what == "" {
						what = "version " + of["number"]
					} else if end == "in force" {
						end = "made"
					}
					fmt.Fprintf(w, "%s by %s: %s\n", what, of["by"], end)
				}
			})
		},
	}, &cobra.Command{
		Use: "diff FILE", Short: "Show where a policy differs from the one in force; 1 where it does", Args: cobra.ExactArgs(1),
		Example: "  saffronquay policy diff new.json --door 127.0.0.1:9401", RunE: func(_ *cobra.Command, words []string) error {
			file, err := c.readFile(words[0], "the policy")
			if err != nil {
				return err
			}
			text, err := c.callAdmin("policy text")
			if err != nil {
				return err
			}
			var now, then any
			if err := json.Unmarshal(file, &then); err != nil {
				return failed(fmt.Errorf("%s: %w", words[0], err))
			}
			if text = strings.TrimSpace(text); text != "" {
				if err := json.Unmarshal([]byte(text), &now); err != nil {
					return failed(fmt.Errorf("the one in force: %w", err))
				}
			}
			lines := diffValues(nil, "", now, then)
			if err := c.print(lines, func(w io.Writer) {
				for _, l := range lines {
					fmt.Fprintln(w, l)
				}
			}); err != nil || len(lines) == 0 {
				return err
			}
			return &exitError{code: exitFailed}
		},
	})
	revert.Flags().StringSliceVar(&p.at, "at", nil, "where voters agree on the policy (default: what the file says)")
	revert.Flags().DurationVar(&p.wait, "wait", 10*time.Second, "how long to wait for the end")
	abort.Flags().StringSliceVar(&p.at, "at", nil, "where voters agree on the policy (default: what the file says)")
	abort.Flags().DurationVar(&p.wait, "wait", 10*time.Second, "how long to wait for the end")
	propose.Flags().BoolVar(&p.keep, "keep", false, "while it is in force, gatherers without a lease go on; then no change is made while one of them is down")
	parent.AddCommand(c.voting(), c.rostering(), c.recovering())
	propose.Flags().Int64Var(&p.base, "base", -1, "the version that it replaces (default: the one in force, by the door)")
	return parent
}

// differences lists the keys in which two documents differ, with what stands there.
func diffValues(dst []string, path string, a, b any) []string {
	if x, ok := a.(map[string]any); ok {
		if y, ok := b.(map[string]any); ok {
			keys := maps.Clone(x)
			maps.Copy(keys, y)
			for _, k := range slices.Sorted(maps.Keys(keys)) {
				dst = diffValues(dst, strings.TrimPrefix(path+"."+k, "."), x[k], y[k])
			}
			return dst
		}
	}
	if x, ok := a.([]any); ok {
		if y, ok := b.([]any); ok && len(x) == len(y) {
			for i := range x {
				dst = diffValues(dst, fmt.Sprintf("%s[%d]", path, i), x[i], y[i])
			}
			return dst
		}
	}
	if reflect.DeepEqual(a, b) {
		return dst
	}
	word := func(v any) string {
		text, err := json.Marshal(v)
		if err != nil || v == nil {
			return "nothing"
		}
		return string(text)
	}
	return append(dst, fmt.Sprintf("%s: %s, and %s", path, word(a), word(b)))
}

// policyLines reads the door's lines: a kind, then names and values, of which the last may be quoted.
func parseAdminLines(text string) (all []map[string]string) {
	for line := range strings.Lines(text) {
		kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		of := map[string]string{"kind": kind}
		for rest != "" {
			name, value, ok := strings.Cut(rest, "=")
			if !ok {
				break
			}
			if quoted, err := strconv.QuotedPrefix(value); err == nil {
				of[name], _ = strconv.Unquote(quoted)
				rest = strings.TrimPrefix(value[len(quoted):], " ")
				continue
			}
			of[name], rest, _ = strings.Cut(value, " ")
		}
		all = append(all, of)
	}
	return all
}

// voters are where a proposal may be sent.
func (c *cli) findVoters(p proposal) (all []netip.AddrPort, err error) {
	for _, text := range p.at {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--at: %w", err)
		}
		all = append(all, a)
	}
	if len(all) > 0 {
		return all, nil
	}
	text, err := c.readFile(c.file, "where voters are with --at, or the operator's file with --file")
	if err != nil {
		return nil, err
	}
	op, err := config.ParseOperator(text)
	if err != nil {
		return nil, failed(err)
	}
	if op.Rollout == nil {
		return nil, failed(errors.New("the file sets up no rollout"))
	}
	names := op.Rollout.Voters
	if p.region != "" {
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return op.Rollout.Regions[name] != p.region })
		if len(names) == 0 {
			return nil, failed(fmt.Errorf("nobody votes in region %q, by the file", p.region))
		}
	} else if len(op.Rollout.Global) > 0 {
		names = op.Rollout.Global
	}
	for _, name := range names {
		all = append(all, op.Rollout.Members[name])
	}
	return all, nil
}

// settlesIn is for how long a version is told to be in force in some regions before that counts as the end.
const partialSettleTime = time.Second

// inForce tells that a version is in force: where there are no regions, or all have said so, everywhere; else in which.
func (c *cli) reportInForce(a *wire.Answer) error {
	v, line := map[string]any{"in_force": true, "number": a.Number}, fmt.Sprintf("version %d is in force", a.Number)
	of := len(a.InForce) + len(a.Apart)
	if of > 0 {
		v["regions"], v["apart"] = append([]string{}, a.InForce...), append([]string{}, a.Apart...)
		line += strings.TrimSuffix(fmt.Sprintf(" in %d of %d regions: %s", len(a.InForce), of, strings.Join(a.InForce, ", ")), ": ")
	}
	if len(a.Apart) > 0 {
		line += "; not in " + strings.Join(a.Apart, ", ") + ", as far as is known: it takes hold there when they are joined again"
	}
	if err := c.print(v, func(w io.Writer) { fmt.Fprintln(w, line) }); err != nil || len(a.Apart) == 0 {
		return err
	}
	return &exitError{code: exitPartial}
}

// propose sends a proposal to one voter after the other until one that leads takes it, and waits for its end.
func (c *cli) propose(p proposal, text []byte) error {
	voters, err := c.findVoters(p)
	if err != nil {
		return err
	}
	if p.base < 0 {
		status, err := c.callAdmin("policy")
		if err != nil {
			return err
		}
		for _, of := range parseAdminLines(status) {
			if of["kind"] == "policy" {
				if p.base, err = strconv.ParseInt(of["number"], 10, 64); err != nil {
					return unreachable(err)
				}
			}
		}
	}
	var b [8]byte
	rand.Read(b[:]) // it never fails
	x := &wire.Propose{Nonce: binary.BigEndian.Uint64(b[:]) | 1, Base: uint64(p.base), Text: text, By: "operator", Dry: p.dry, Abort: p.abort, Keep: p.keep}
	if p.turn != nil {
		p.turn(x)
	}
	if u, err := user.Current(); err == nil {
		x.By = u.Username
	}
	began, sent := time.Now(), false
	var last error
	var partial *wire.Answer // not in force in all regions, as it was told last,
	var since time.Time      // and first
	for i := 0; time.Since(began) < p.wait; time.Sleep(50 * time.Millisecond) {
		answer, err := peering.CallPolicyNode(voters[i%len(voters)], x, c.timeout)
		if err != nil {
			last = err
			sent = true // it may have come in
			i++
			continue
		}
		switch answer.End {
		case 0:
			sent = true
		case 1:
			if p.abort {
				return c.print(map[string]any{"ok": true}, func(w io.Writer) { fmt.Fprintln(w, "given up") })
			}
			if p.what != "" {
				return c.print(map[string]any{"ok": true, "what": p.what}, func(w io.Writer) { fmt.Fprintln(w, p.what) })
			}
			if len(answer.Apart) > 0 {
				if partial == nil {
					since = time.Now()
				}
				// A leader that was elected just now has not heard of all regions yet.
				if partial = answer; len(answer.InForce) == 0 || time.Since(since) < partialSettleTime {
					continue
				}
			}
			return c.reportInForce(answer)
		case 2:
			if p.dry && strings.HasPrefix(answer.Reason, "dry: ") {
				return c.print(map[string]any{"good": true}, func(w io.Writer) { fmt.Fprintln(w, "good:", strings.TrimPrefix(answer.Reason, "dry: ")) })
			}
			return failed(fmt.Errorf("refused: %s", answer.Reason))
		default:
			i++
		}
	}
	if partial != nil {
		return c.reportInForce(partial)
	}
	if !sent {
		return unreachable(errors.New("no voter leads: nothing was proposed"))
	}
	if last != nil {
		return unreachable(fmt.Errorf("in doubt: %w; 'policy status' tells what became of it", last))
	}
	return unreachable(errors.New("in doubt: it is not decided yet; 'policy status' tells what becomes of it"))
}
