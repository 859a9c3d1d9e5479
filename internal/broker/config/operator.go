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

// Operator is a parsed operator's file. It configures a gatherer that serves the search API and runs
// outside of the platform.
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
	Cursors           *Cursors // nil: no points in time
	Layout            *Layout  // nil: static placement of shards by settings and indices
	Store             *Store   // nil: no state survives a restart
	Log               Log
	Contracts         *admission.Config // nil: none
	Fleet             *Fleet            // nil: no view of a fleet
	Rollout           *Rollout          // nil: the policy is in the file
	Text              []byte            // the text of the file, without the changes of an overlay
}

// Log configures the log.
type Log struct {
	Format string // text or json; empty: text
	Level  string // debug, info, warn or error; empty: info
}

// Store configures the durable store.
type Store struct {
	Directories   [2]string     // of the two copies
	Retention     time.Duration // retention of a client's idempotency key
	Takeover      time.Duration // maximum wait for the process that this one replaces to release the store
	KeyHeader     string        // header field with a client's idempotency key
	MaxAnswer     int           // maximum size of a stored answer in bytes
	SegmentSize   int64         // bytes
	NoGroupCommit bool          // no group commit; for measurements
	StartWithout  bool          // if the store cannot be opened, start and reject the classes that need it
}

func (s *Store) equal(o *Store) bool { return s == nil && o == nil || s != nil && o != nil && *s == *o }

// Cursors configures points in time.
type Cursors struct {
	Key                  []byte        // authenticates tokens; nil: each process has its own key
	MaxOpen              int           // maximum number of open points in time of one tenant
	MaxKeepAlive, MaxAge time.Duration // limits of the keep-alive time and of the age of a point in time
}

// Layout configures ranges that split, merge and move.
type Layout struct {
	Document     layout.Doc    // the layout at the time the file was written
	Directory    string        // host:port of the directory that announces changes; empty: changes come by the file only
	StallTimeout time.Duration // a change that stays in one state for longer is reported
}

// VRRP configures the virtual router of which this gatherer is a member.
type VRRP struct {
	Router  vrrp.Config
	Listen  netip.AddrPort
	Peers   []netip.AddrPort
	Service string // host:port of the virtual address, served in state Active
}

// LoadOperator reads the operator's file that the environment names. If it names none, ok is false and
// the search front stays off.
//
// overlay, if not empty, is the policy in force. Its keys replace those of the file.
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

// ReloadOperator reads the operator's file again while the program runs. After an error no part of the
// file may be put in force.
func ReloadOperator(getenv func(string) string, readFile func(string) ([]byte, error), inForce Operator, overlay ...[]byte) (Operator, error) {
	o, _, err := LoadOperator(getenv, readFile, overlay...)
	if err != nil {
		return Operator{}, err
	}
	if err := inForce.CheckReload(o); err != nil {
		return Operator{}, fmt.Errorf("SAFFRONQUAY_OPERATOR_FILE: %w", err)
	}
	if o.Rollout != nil {
		if key := changedPolicyKey(inForce.Text, o.Text); key != "" {
			return Operator{}, fmt.Errorf("SAFFRONQUAY_OPERATOR_FILE: %s: with a rollout on it is changed by 'saffronquay policy propose'", key)
		}
	}
	return o, nil
}

// CheckReload returns nil if the file next can replace this one without a restart. Otherwise the error
// names the setting that needs a restart.
func (o Operator) CheckReload(next Operator) error {
	if err := o.Settings.checkLayout(next.Settings); err != nil {
		return err
	}
	if (o.Layout == nil) != (next.Layout == nil) ||
		next.Layout != nil && (o.Layout.Directory == "") != (next.Layout.Directory == "") {
		return fmt.Errorf("layout: adding or removing the section or its directory needs a restart")
	}
	if (o.Fleet == nil) != (next.Fleet == nil) || next.Fleet != nil && !reflect.DeepEqual(o.Fleet.restartOnly(), next.Fleet.restartOnly()) {
		return fmt.Errorf("fleet: a change of any key but balancers and contracts needs a restart")
	}
	if !o.Store.equal(next.Store) {
		return fmt.Errorf("store: a change needs a restart")
	}
	if !reflect.DeepEqual(o.Rollout, next.Rollout) {
		return fmt.Errorf("rollout: a change needs a restart")
	}
	return nil
}
