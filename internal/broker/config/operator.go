package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/opensearch"
	"saffronquay/internal/broker/vrrp"
	"time"

	sq "saffronquay"
)

// Operator is a parsed operator's file: a gatherer that speaks the search API, away from the platform.
type Operator struct {
	Name, Listen      string
	Operator          string // address of the admin endpoint; empty: none
	Seed              uint64
	Sockets, MemoryMB int
	Settings          Settings
	Budgets           map[string]core.Budget // of attempts, by tenant
	TenantHeader      string
	Indices           map[string]opensearch.Index
	Servers           []sq.Server
	Addresses         map[sq.ServerID]string
	VRRP              *VRRP    // nil: off
	Cursors           *Cursors // nil: there are no points in time
	Layout            *Layout  // nil: settings and indices say where shards are, and that never changes
	Store             *Store   // nil: nothing is kept over a restart
	Log               Log
	Contracts         *admission.Config // nil: there are none
	Fleet             *Fleet            // nil: it knows no other gatherers
	Rollout           *Rollout          // nil: the policy is the file's
	Text              []byte            // the file, without what an overlay changed
}

// Log configures the log.
type Log struct {
	Format string // text or json; empty: text
	Level  string // debug, info, warn or error; empty: info
}

// Store configures the durable store.
type Store struct {
	Directories [2]string     // of the two copies
	Keep        time.Duration // how long a client's key is remembered
	Takeover    time.Duration // how long a process waits for the one it replaces to give the store up
	KeyHeader   string        // the header field that names a client's key
	MaxAnswer   int           // bytes of an answer that are stored at most
	SegmentSize int64         // bytes
	Single      bool          // no group commit; for measurements
	Without     bool          // if it can't be opened, the program starts without the classes that need it
}

func (s *Store) same(o *Store) bool { return s == nil && o == nil || s != nil && o != nil && *s == *o }

// Cursors configures points in time.
type Cursors struct {
	Key             []byte // seals tokens; nil: each process has its own
	Most            int    // open at a time, of one tenant
	MaxKeep, MaxAge time.Duration
}

// Layout configures ranges that split, merge and move.
type Layout struct {
	Document  layout.Doc    // as last known
	Directory string        // host:port that announces changes; empty: the file alone has them
	Stall     time.Duration // after which a change that stays in one state is reported
}

// VRRP configures a virtual router that this gatherer takes part in.
type VRRP struct {
	Router  vrrp.Config
	Listen  netip.AddrPort
	Peers   []netip.AddrPort
	Service string // host:port that clients reach at the virtual address, served while Active
}

// LoadOperator reads the operator's file that the environment names; ok is false if it names none, and the search front stays off.
//
// overlay, if not empty, is the policy in force: its keys take the place of the file's.
func LoadOperator(getenv func(string) string, readFile func(string) ([]byte, error), overlay ...[]byte) (o Operator, ok bool, err error) {
	const variable = "SAFFRONQUAY_OPERATOR_FILE"
	path := getenv(variable)
	if path == "" {
		return o, false, nil
	}
	text, err := readFile(path)
	if err != nil {
		return o, true, fmt.Errorf("%s: %w", variable, err)
	}
	if o, err = ParseOperator(text, overlay...); err != nil {
		return o, true, fmt.Errorf("%s: %w", variable, err)
	}
	return o, true, nil
}

// ReloadOperator reads the file again while the program runs. An error means that nothing of it may be put in force.
func ReloadOperator(getenv func(string) string, readFile func(string) ([]byte, error), inForce Operator, overlay ...[]byte) (Operator, error) {
	o, _, err := LoadOperator(getenv, readFile, overlay...)
	if err != nil {
		return Operator{}, err
	}
	if err := inForce.Fits(o); err != nil {
		return Operator{}, fmt.Errorf("SAFFRONQUAY_OPERATOR_FILE: %w", err)
	}
	if o.Rollout != nil {
		if key := policyChanged(inForce.Text, o.Text); key != "" {
			return Operator{}, fmt.Errorf("SAFFRONQUAY_OPERATOR_FILE: %s: with a rollout on it is changed by 'saffronquay policy propose'", key)
		}
	}
	return o, nil
}

// Fits returns why another file can't be put in force while the program runs with this one; nil if it can.
func (o Operator) Fits(next Operator) error {
	if err := o.Settings.checkLayout(next.Settings); err != nil {
		return err
	}
	if (o.Layout == nil) != (next.Layout == nil) ||
		next.Layout != nil && (o.Layout.Directory == "") != (next.Layout.Directory == "") {
		return fmt.Errorf("layout: to begin or end it, or its directory, needs a restart")
	}
	if (o.Fleet == nil) != (next.Fleet == nil) || next.Fleet != nil && !reflect.DeepEqual(o.Fleet.fixed(), next.Fleet.fixed()) {
		return fmt.Errorf("fleet: to change it needs a restart, but for balancers and contracts")
	}
	if !o.Store.same(next.Store) {
		return fmt.Errorf("store: to change it needs a restart")
	}
	if !reflect.DeepEqual(o.Rollout, next.Rollout) {
		return fmt.Errorf("rollout: to change it needs a restart")
	}
	return nil
}
