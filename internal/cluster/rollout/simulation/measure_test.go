package simulation

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"google.golang.org/protobuf/proto"
)

// Bounds the duration of changes and pauses in virtual time, without faults and with some gatherers
// down.
func TestChange_Duration(t *testing.T) {
	p99 := func(d []int64) time.Duration {
		if len(d) == 0 {
			return -1
		}
		slices.Sort(d)
		return time.Duration(d[len(d)*99/100]) * time.Microsecond
	}
	for _, c := range []struct {
		voters, others, down int
		most                 time.Duration // limit for a change (p99)
	}{
		{5, 4, 0, 200 * time.Millisecond},
		{5, 4, 1, 3 * time.Second},
		{5, 4, 2, 3 * time.Second},
		{5, 295, 0, 300 * time.Millisecond},
	} {
		r, err := Run(Config{
			Seed: 1, Voters: c.voters, Others: c.others, Down: c.down, FaultsEnd: 30 * second, Length: 36 * second, ProposeInterval: 3 * second,
			QueryInterval: 20 * ms, StartAt: 6 * second,
		})
		if err != nil || c.down == 0 && r.HasViolations() {
			t.Errorf("%v %s", err, r.FirstViolation)
		}
		took, holds := p99(r.ChangeTimes), p99(r.Pauses)
		if took > c.most || r.InForce < 3 || c.down == 0 && holds > 20*time.Millisecond {
			t.Errorf("%d of %d down: a change takes %s (p99), and pauses queries for %s", c.down, c.voters+c.others, took, holds)
		}
		t.Logf("gatherers=%d down=%d changes=%d took_p99=%s hold_p99=%s messages_a_gatherer_s=%.1f", c.voters+c.others, c.down, r.InForce, took, holds,
			float64(r.Messages)/float64(c.voters+c.others)/36)
	}
}

// The register of versions is linearizable with respect to the answers to proposers and the
// versions that queries were admitted under.
func TestVersions_Linearizable(t *testing.T) {
	type input struct {
		write      bool
		base, next uint64
	}
	register := porcupine.Model{Init: func() any { return uint64(0) }, Step: func(state, in, out any) (bool, any) {
		x, now := in.(input), state.(uint64)
		if x.write {
			ok := out.(bool)
			return !ok || now == x.base, map[bool]any{true: x.next, false: now}[ok]
		}
		return out.(uint64) == now, now
	}}
	for seed := range uint64(20) {
		cfg := standardRun(seed)
		cfg.History = true
		r, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		var ops []porcupine.Operation
		for i, o := range r.Operations {
			ops = append(ops, porcupine.Operation{ClientId: i % 1000, Input: input{o.Write, o.Number - 1, o.Number}, Call: o.Call, Return: o.Return, Output: map[bool]any{true: true, false: o.Number}[o.Write]})
		}
		if got := porcupine.CheckOperationsTimeout(register, ops, 20*time.Second); got != porcupine.Ok {
			t.Errorf("seed %d: %d operations: %s", seed, len(ops), got)
		}
	}
}

// BenchmarkAdmit measures the admission of a query without a change in progress.
func BenchmarkAdmit(b *testing.B) {
	n, err := rollout.New(rollout.Config{Name: "a", Members: []rollout.Member{{Name: "a", Address: "a", Voter: true}}}, 1, rand.New(rand.NewPCG(1, 1)), rollout.PersistentState{Identity: 1})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for range b.N {
		n.Admit(5)
	}
}

// BenchmarkLeader measures what a lease request of one of 300 gatherers costs the leader, including
// the answer, and the bytes of both. A fleet of that size sends some 500 requests per second.
func BenchmarkLeader(b *testing.B) {
	cfg := rollout.Config{Name: "n000"}
	for i := range 300 {
		name := fmt.Sprintf("n%03d", i)
		cfg.Members = append(cfg.Members, rollout.Member{Name: name, Address: "127.0.0.1:9450", Voter: i == 0})
	}
	n, err := rollout.New(cfg, 1, rand.New(rand.NewPCG(1, 1)), rollout.PersistentState{Identity: 1})
	if err != nil {
		b.Fatal(err)
	}
	now, bytes := int64(1), 0
	step := func() {
		for o := n.TakeOutput(); o.Save != nil || len(o.Messages) > 0; o = n.TakeOutput() {
			for _, m := range o.Messages {
				bytes += proto.Size(m)
			}
			if o.Save != nil {
				if err := n.Saved(now); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	for ; !n.IsLeader(); now += 10_000 {
		n.Tick(now)
		step()
	}
	bytes = 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		ask := &wire.Message{From: cfg.Members[1+i%299].Name, To: "n000", Identity: uint64(i) + 2, Ask: &wire.Ask{Nonce: uint64(i) + 1, MembersIndex: 1}}
		bytes += proto.Size(ask)
		now += 2000
		n.Receive(now, ask)
		step()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/ask")
}
