package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"saffronquay/deploy"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/server"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"sync"
	"time"
)

const (
	trialPolicyWait     = 8 * time.Second       // maximum wait for the outcome of a policy change
	trialPolicyInterval = 10 * time.Millisecond // polling interval for the outcome
	trialPolicyTimeout  = time.Second           // timeout of one call
	trialMaxOpen        = 500                   // max_open of the first policy, as in startCluster; each change raises it
)

// trialFleet is the set of gatherers of a trial. If there are several, each maintains a view of the
// fleet with the settings of deploy/fleet.json and joins through the first. It is safe for
// concurrent use.
type trialFleet struct {
	trial
	file map[string]any // the operator's file of the first gatherer
	log  *slog.Logger

	mu               sync.Mutex
	running          []*server.Gatherer // an entry is nil while that gatherer is stopped
	joinAddress      string             // membership address of the first gatherer
	stopped          bool               // set by stopAll: no gatherer is started any more
	storeDir         string             // parent of the durable stores with --policy; "" before the first start
	rolloutAddresses []string           // policy listener of each gatherer
}

// start starts the i-th gatherer, which is either the next new one or one that was stopped. After
// stopAll it does nothing.
func (f *trialFleet) start(ctx context.Context, i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil
	}
	text, err := f.operatorFile(ctx, i)
	if err != nil {
		return err
	}
	operator, err := config.ParseOperator(text)
	if err != nil {
		return err
	}
	plan, err := server.SearchPlan(operator, f.log) //nolint:contextcheck // ctx bounds a call; the plan's log belongs to the gatherer
	if err != nil {
		return err
	}
	g, err := server.Start(plan, f.log, nil) //nolint:contextcheck // as above
	if err != nil {
		return err
	}
	if f.joinAddress == "" && f.gatherers > 1 {
		f.joinAddress = g.FleetAddress()
	}
	if i < len(f.running) {
		f.running[i] = g
	} else {
		f.running = append(f.running, g)
	}
	return nil
}

// operatorFile returns the operator's file of the i-th gatherer.
func (f *trialFleet) operatorFile(ctx context.Context, i int) ([]byte, error) {
	file := maps.Clone(f.file)
	if f.gatherers > 1 {
		if err := f.addFleet(i, file); err != nil {
			return nil, err
		}
	}
	if f.policy {
		if err := f.addRollout(ctx, i, file); err != nil {
			return nil, err
		}
	}
	return json.Marshal(file)
}

// addFleet adds the fleet settings to the file of the i-th gatherer, which joins through the first
// one if that is running already.
func (f *trialFleet) addFleet(i int, file map[string]any) error {
	var example struct{ Fleet map[string]any }
	if err := json.Unmarshal(deploy.Fleet, &example); err != nil {
		return fmt.Errorf("decode deploy/fleet.json: %w", err)
	}
	fleet := example.Fleet
	delete(fleet, "join")
	fleet["listen"] = "127.0.0.1:0"
	if f.joinAddress != "" {
		fleet["join"] = []string{f.joinAddress}
	}
	file["fleet"], file["name"] = fleet, trialName(i)
	if i > 0 {
		file["listen"] = "127.0.0.1:0"
	}
	return nil
}

// trialName returns the name of the i-th gatherer.
func trialName(i int) string { return fmt.Sprint("try-", i+1) }

// addRollout adds a rollout to the file of the i-th gatherer, with all gatherers of the trial as
// voters, and a store in a directory that stopAll removes.
func (f *trialFleet) addRollout(ctx context.Context, i int, file map[string]any) error {
	if f.storeDir == "" {
		if err := f.reserveRollout(ctx); err != nil {
			return err
		}
	}
	var members []any
	for j, address := range f.rolloutAddresses {
		members = append(members, map[string]any{"name": trialName(j), "address": address, "voter": true})
	}
	file["rollout"] = map[string]any{"listen": f.rolloutAddresses[i], "members": members, "lease_ms": 1000}
	file["store"] = map[string]any{"directory": filepath.Join(f.storeDir, fmt.Sprint(i+1))}
	return nil
}

// reserveRollout creates the parent directory of the stores, and picks a free port for each
// gatherer's policy listener.
func (f *trialFleet) reserveRollout(ctx context.Context) error {
	var err error
	if f.storeDir, err = os.MkdirTemp("", "saffronquay-try-"); err != nil {
		return err
	}
	for range f.gatherers {
		var listen net.ListenConfig
		listener, err := listen.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer listener.Close() // kept open until all ports are picked, so that they differ
		f.rolloutAddresses = append(f.rolloutAddresses, listener.Addr().String())
	}
	return nil
}

// proposePolicy proposes the n-th change of the policy, counted from 1, which differs from the
// previous one in one number, and reports the outcome through reportf.
func (f *trialFleet) proposePolicy(reportf func(string, ...any), n int) {
	text, err := f.policyText(n)
	if err != nil {
		reportf("policy: %v", err)
		return
	}
	began := time.Now()
	request := &wire.Propose{Nonce: uint64(began.UnixNano()), Base: uint64(n - 1), Text: text, By: "try"}
	next := 0 // number of failovers so far; modulo the number of gatherers, the index of the next one to call
	for ; time.Since(began) < trialPolicyWait; time.Sleep(trialPolicyInterval) {
		address, err := netip.ParseAddrPort(f.rolloutAddresses[next%len(f.rolloutAddresses)])
		if err != nil {
			reportf("policy: %v", err)
			return
		}
		answer, err := peering.CallPolicyNode(address, request, trialPolicyTimeout)
		switch {
		case err != nil || answer.End == answerUnknown:
			next++
		case answer.End == answerMade:
			reportf("version %d of the policy is in force everywhere, %s after it was proposed", answer.Number, time.Since(began).Round(time.Millisecond))
			return
		case answer.End == answerRefused:
			reportf("policy rejected: %s", answer.Reason)
			return
		}
	}
	reportf("policy: outcome of the proposal in doubt")
}

// policyText returns the policy of the n-th change.
func (f *trialFleet) policyText(n int) ([]byte, error) {
	file, err := json.Marshal(f.file)
	if err != nil {
		return nil, err
	}
	text, err := config.ExtractPolicy(file)
	if err != nil {
		return nil, err
	}
	before, after := fmt.Appendf(nil, `"max_open":%d`, trialMaxOpen), fmt.Appendf(nil, `"max_open":%d`, trialMaxOpen+n)
	return bytes.Replace(text, before, after, 1), nil
}

// stop stops the i-th gatherer and waits for its end. It does nothing if the gatherer is not running.
func (f *trialFleet) stop(i int) error {
	f.mu.Lock()
	g := f.running[i]
	f.running[i] = nil
	f.mu.Unlock()
	if g == nil {
		return nil
	}
	g.Stop()
	return g.Wait()
}

// stopAll stops all gatherers concurrently, waits for them and removes their stores. A second call
// does nothing.
func (f *trialFleet) stopAll() error {
	f.mu.Lock()
	n := len(f.running)
	f.stopped = true
	f.mu.Unlock()
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = f.stop(i) })
	}
	wg.Wait()
	if f.storeDir != "" {
		errs = append(errs, os.RemoveAll(f.storeDir))
	}
	return errors.Join(errs...)
}

// printViews prints, in one line, the numbers of live members and of expected members that each
// gatherer's view has.
func (f *trialFleet) printViews(out io.Writer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []string
	for i, g := range f.running {
		if g == nil {
			views = append(views, fmt.Sprintf("try-%d is stopped", i+1))
			continue
		}
		alive, effective := g.MemberCounts()
		views = append(views, fmt.Sprintf("try-%d sees %d and reckons with %d", i+1, alive, effective))
	}
	fmt.Fprintf(out, "       %s\n", strings.Join(views, ", "))
}
