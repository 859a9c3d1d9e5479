package server

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/opensearch"
	"saffronquay/internal/broker/pagination"
	"saffronquay/internal/broker/platform"
	"saffronquay/internal/broker/transport"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

// Plan is the complete configuration of a gatherer, made from either the platform's or the operator's
// configuration file. LoadPlan or SearchPlan creates it, Start runs it.
type Plan struct {
	name, listen         string
	seed                 uint64
	maxSockets, memoryMB int
	settings             config.Settings
	budgets              map[string]core.Budget
	front                transport.Front
	dialect              core.Dialect
	partsPerCall         int
	fleet                sq.FleetChanged
	addresses            map[sq.ServerID]string
	newWatcher           func(*transport.Engine) *transport.Watcher // nil: the list of servers is static
	vrrp                 *config.VRRP                               // nil: off
	adminListen          string                                     // address of the admin endpoint; empty: none
	passedSocket         int                                        // descriptor of the client socket; 0: the gatherer opens it
	sharedDirectory      string                                     // in which the processes of one gatherer exchange their state
	discovery            string
	layout               *config.Layout                       // nil: the settings determine the placement of shards
	cursors              *atomic.Pointer[pagination.Registry] // points in time; nil: none
	currentLayout        *layout.Current                      // the layout that the front plans by, if there is one
	adopt                func()                               // puts the objects created for the plan in force; may be nil
	rereadFile           func() (Plan, error)                 // reads the file again and returns its plan
	durable              *durableState                        // nil: no state survives a restart
	logConfig            config.Log                           // format and level of the log
	contracts            *admission.Config                    // nil: no contracts
	fleetFile            *config.Fleet                        // nil: no view of the fleet
	rollout              *config.Rollout                      // nil: the policy is in the file only
	file                 *config.Operator                     // nil on the platform
	search               *searchState                         // nil on the platform
	logOutput            *logging.Output                      // output of the log; nil: its format and level cannot be changed
}

// readStable reads a file that may be written concurrently.
func readStable(path string) ([]byte, error) { return config.ReadStable(path, os.ReadFile) }

// LoadPlan makes the plan from the environment: the settings of the process, and the platform's or the
// operator's configuration file that the environment names. It opens the store if the file has one.
func LoadPlan(logger *slog.Logger) (Plan, error) {
	process, err := config.LoadProcess(os.Getenv)
	if err != nil {
		return Plan{}, err
	}
	p, err := loadFile(logger)
	p.passedSocket, p.sharedDirectory = process.PassedSocket, process.StateDirectory
	return p, err
}

// loadFile makes the plan from the operator's file, with the policy that was in force last, if the
// environment names such a file, otherwise from the platform's file.
func loadFile(logger *slog.Logger) (Plan, error) {
	op, ok, err := config.LoadOperator(os.Getenv, readStable)
	if err != nil {
		return Plan{}, err
	}
	if ok {
		p, err := SearchPlan(op, logger)
		if err != nil {
			return Plan{}, err
		}
		state := p.search
		if text := state.durable.storedPolicy(); op.Rollout != nil && text != nil {
			state.policyTexts = [][]byte{text}
			if op, _, err = config.LoadOperator(os.Getenv, readStable, state.policyTexts...); err != nil {
				state.durable.close()
				return Plan{}, fmt.Errorf("configuration with the last policy in force: %w", err)
			}
		}
		return buildSearchPlan(op, state, logger), nil
	}
	node, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return Plan{}, err
	}
	return platformPlan(node, logger), nil
}

// platformPlan returns the plan for the platform's configuration file.
func platformPlan(node config.Node, logger *slog.Logger) Plan {
	return Plan{
		name: node.Name, listen: node.Listen, adminListen: node.Operator, seed: node.Seed, maxSockets: node.Sockets,
		memoryMB: node.MemoryMB, settings: node.Settings, front: platform.Front{Margin: clientMarginMicros},
		dialect:      platform.Workers{PerConn: node.Settings.StreamsPerConn},
		partsPerCall: max(1, node.Settings.Module.PartsPerCall), discovery: node.Discovery,
		fleet: sq.FleetChanged{Kind: sq.FleetCached, Servers: node.Known}, addresses: node.Addresses,
		newWatcher: func(e *transport.Engine) *transport.Watcher {
			w := transport.NewWatcher(node.Discovery, node.Generation, node.Settings.Module.WatchMembership, e.UpdateFleet, logger)
			w.SetJitterSeed(node.Seed)
			return w
		},
		rereadFile: func() (Plan, error) {
			now, err := config.Reload(os.Getenv, os.ReadFile, node)
			return platformPlan(now, logger), err
		},
	}
}

// SearchPlan returns the plan for an operator's file that the caller has read; the file is not read
// again. It opens the store if the file has one.
func SearchPlan(op config.Operator, logger *slog.Logger) (Plan, error) {
	state := &searchState{}
	if op.Store != nil {
		var err error
		if state.durable, err = openDurable(*op.Store, op.Name, logger); err != nil {
			return Plan{}, err
		}
		state.cursorKey = state.durable.cursorKey
	}
	return buildSearchPlan(op, state, logger), nil
}

// buildSearchPlan returns the plan for an operator's file and the state of the search front. Nothing in
// force changes before the plan's adopt runs.
func buildSearchPlan(op config.Operator, state *searchState, logger *slog.Logger) Plan {
	registry := state.cursorRegistry(op.Cursors)
	adopt := func() {
		if registry != state.cursors.Load() {
			state.durable.trackCursors(registry, time.Now().UnixMicro())
		}
		if state.cursors.Store(registry); op.Cursors != nil {
			state.cursorConfig = *op.Cursors
		}
	}
	front := opensearch.Frontend{
		Indices: op.Indices, TenantHeader: op.TenantHeader, Tenants: map[string]bool{},
		MaxDuration: map[string]int64{}, Margin: clientMarginMicros, Layout: &state.layout,
		Cursors: registry, Nonce: randomID,
	}
	for _, t := range op.Settings.Module.Tenants {
		front.Tenants[t.Name] = true
	}
	for _, c := range op.Settings.Module.Classes {
		front.MaxDuration[c.Name] = c.HardLimit
	}
	if d := state.durable; d != nil {
		front.AtMostOnce = &opensearch.AtMostOnce{Tracker: d.idempotency, Header: op.Store.KeyHeader, Classes: map[string]bool{}, Unavailable: d.store == nil}
		for _, c := range op.Settings.Module.Classes {
			front.AtMostOnce.Classes[c.Name] = c.Effect == sq.AtMostOnce
		}
	}
	return Plan{
		name: op.Name, listen: op.Listen, adminListen: op.Operator, seed: op.Seed, maxSockets: op.Sockets, memoryMB: op.MemoryMB,
		settings: op.Settings, budgets: op.Budgets, front: front, dialect: opensearch.ServerProtocol{}, partsPerCall: 1,
		fleet: sq.FleetChanged{Kind: sq.FleetFull, Servers: op.Servers}, addresses: op.Addresses, vrrp: op.VRRP,
		layout: op.Layout, currentLayout: &state.layout, cursors: &state.cursors, adopt: adopt,
		durable: state.durable, logConfig: op.Log, contracts: op.Contracts, fleetFile: op.Fleet, rollout: op.Rollout, file: &op, search: state,
		rereadFile: func() (Plan, error) {
			now, err := config.ReloadOperator(os.Getenv, readStable, op, state.policyTexts...)
			if err != nil {
				return Plan{}, err
			}
			return buildSearchPlan(now, state, logger), nil
		},
	}
}

// searchState is the state of the search front that survives a reload of the file.
type searchState struct {
	layout       layout.Current
	cursorKey    []byte // authenticates cursors if the file has no key
	cursors      atomic.Pointer[pagination.Registry]
	cursorConfig config.Cursors
	durable      *durableState // nil: no state survives a restart
	policyTexts  [][]byte      // empty, or the policy in force; the gatherer's goroutine owns it
}

// cursorRegistry returns the registry of points in time for a file's settings; nil if there are
// none. If the settings are unchanged, it returns the present registry, so that open cursors stay
// valid. It changes nothing in force, since the file may still be rejected.
func (s *searchState) cursorRegistry(c *config.Cursors) *pagination.Registry {
	if c == nil {
		return nil
	}
	if s.cursorKey == nil {
		s.cursorKey = make([]byte, 32)
		rand.Read(s.cursorKey) // never fails
	}
	now := s.cursors.Load()
	if now == nil || s.cursorConfig.MaxOpen != c.MaxOpen || s.cursorConfig.MaxKeepAlive != c.MaxKeepAlive || s.cursorConfig.MaxAge != c.MaxAge || !bytes.Equal(s.cursorConfig.Key, c.Key) {
		key := c.Key
		if key == nil {
			key = s.cursorKey
		}
		return pagination.NewRegistry(pagination.Config{Key: key, MaxOpen: c.MaxOpen, MaxKeepAlive: c.MaxKeepAlive.Microseconds(), MaxAge: c.MaxAge.Microseconds()})
	}
	return now
}

// randomID returns a random id, unique among cursors, processes and disks.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}
