package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Rollout configures the replication of the policy among the gatherers.
type Rollout struct {
	Listen          netip.AddrPort
	Members         map[string]netip.AddrPort // by name, including this gatherer
	Voters          []string                  // with regions, each votes in the agreement of its region
	Region          string                    // of this gatherer; empty: the fleet has no regions
	Regions         map[string]string         // of each member by name; nil: the fleet has no regions
	Global          []string                  // voters of the global agreement; empty: all voters
	Lease, MaxPause time.Duration             // MaxPause 0: the default of package rollout
	Drift           float64                   // maximum relative error of the clock of any member
	DivideBudgets   bool                      // budgets of contracts are divided by leases on quotas
}

// policyKeys are the keys of the operator's file that a policy may contain. While a policy is in force
// they are not read from the file.
var policyKeys = []string{"settings", "tenants", "contracts"}

// localSettings are the keys of settings that identify this gatherer. They always come from the
// file, and a policy must not contain them.
var localSettings = []string{"me", "zone"}

// drains is a key of a policy that is not a key of the file. It lists the servers and zones to drain:
// {"servers": [...], "zones": [...]}.
const drains = "drains"

// rollout reads the section rollout.
func (o *Operator) rollout(r reader) {
	r.require("listen", "members")
	x := &Rollout{
		Listen: r.addrPort("listen", r.str("listen", "")), Members: map[string]netip.AddrPort{}, Lease: millis(r, "lease_ms", 2000, 200, 60_000),
		Drift: r.float("drift", 0.01), DivideBudgets: r.boolean("share"), Region: r.str("region", ""),
	}
	if r.has("hold_ms") {
		x.MaxPause = millis(r, "hold_ms", 200, 20, 5000)
	}
	members := r.array("members")
	for _, m := range members {
		m.require("name", "address")
		name := m.str("name", "")
		if _, duplicate := x.Members[name]; duplicate {
			m.fault("name", "%q is named twice", name)
		}
		if x.Members[name] = m.addrPort("address", m.str("address", "")); m.boolean("voter") {
			x.Voters = append(x.Voters, name)
		}
	}
	if _, ok := x.Members[o.Name]; !ok {
		r.fault("members", "this gatherer, %q, is not among them", o.Name)
	}
	if x.regions(r, members, o.Name); x.Regions == nil {
		if n := len(x.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
			r.fault("members", "want 3, 5 or 7 voters (1 for a trial), not %d", n)
		}
	}
	if !(x.Drift > 0 && x.Drift <= 0.1) {
		r.fault("drift", "want above 0 to 0.1, not %g", x.Drift)
	}
	if x.DivideBudgets && o.Fleet != nil && o.Fleet.Contracts {
		r.fault("share", "want at most one of share and fleet.contracts: both divide the contracts")
	}
	if o.Store == nil {
		r.fault("", "needs the section store: the agreed policy must survive a restart")
	}
	slices.Sort(x.Voters)
	slices.Sort(x.Global)
	o.Rollout = x
}

// parseObject parses a JSON object without parsing its values.
func parseObject(text []byte) (map[string]json.RawMessage, error) {
	var v map[string]json.RawMessage
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	return v, nil
}

// removeKeys returns a JSON object without the given keys. Text that is not an object is returned
// unchanged.
func removeKeys(text json.RawMessage, keys []string) json.RawMessage {
	v, err := parseObject(text)
	if err != nil {
		return text
	}
	for _, k := range keys {
		delete(v, k)
	}
	if text, err = json.Marshal(v); err != nil {
		return nil // unreachable: the values were parsed from JSON
	}
	return text
}

// ExtractPolicy returns the part of an operator's file that can become a policy, as a document for
// 'policy adopt'.
func ExtractPolicy(text []byte) ([]byte, error) {
	file, err := parseObject(text)
	if err != nil {
		return nil, err
	}
	policy := map[string]json.RawMessage{}
	for _, key := range policyKeys {
		if v, ok := file[key]; ok {
			policy[key] = v
		}
	}
	if v, ok := policy["settings"]; ok {
		policy["settings"] = removeKeys(v, localSettings)
	}
	return json.Marshal(policy)
}

// withPolicy returns the text of a file with its policy keys replaced by those of a policy. The
// settings that identify this gatherer stay. An empty policy changes nothing.
func withPolicy(text, policy []byte) ([]byte, error) {
	if len(policy) == 0 {
		return text, nil
	}
	p, err := parseObject(policy)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	file, err := parseObject(text)
	if err != nil {
		return nil, err
	}
	for key := range p {
		if key != drains && !slices.Contains(policyKeys, key) {
			return nil, fmt.Errorf("%s: a policy has the keys %s, %s only", key, strings.Join(policyKeys, ", "), drains)
		}
	}
	if err := keepLocalSettings(file, p); err != nil {
		return nil, err
	}
	for _, key := range policyKeys {
		delete(file, key)
		if v, ok := p[key]; ok {
			file[key] = v
		}
	}
	if v, ok := p[drains]; ok {
		if file["servers"], err = markDraining(file["servers"], v); err != nil {
			return nil, err
		}
	}
	return json.Marshal(file)
}

// keepLocalSettings copies the local settings of the file to the settings of the policy p. It
// returns an error if the policy contains any of them.
func keepLocalSettings(file, p map[string]json.RawMessage) error {
	text, ok := p["settings"]
	if !ok {
		return nil
	}
	settings, malformed := parseObject(text)
	if malformed != nil {
		return nil //nolint:nilerr // the reader reports it with its key
	}
	own, malformed := parseObject(file["settings"])
	if malformed != nil {
		own = nil
	}
	for _, key := range localSettings {
		if _, ok := settings[key]; ok {
			return fmt.Errorf("settings.%s: local to each gatherer: a policy must not contain it", key)
		}
		if v, ok := own[key]; ok {
			settings[key] = v
		}
	}
	merged, err := json.Marshal(settings)
	p["settings"] = merged
	return err
}

// markDraining returns the list of servers with those marked as draining that a policy drains by id or
// zone. A server that this file does not list is ignored, since the files of gatherers differ.
func markDraining(servers, text json.RawMessage) (json.RawMessage, error) {
	var d struct{ Servers, Zones []string }
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return nil, fmt.Errorf("%s: want lists of servers and zones: %w", drains, err)
	}
	var all []map[string]json.RawMessage
	if malformed := json.Unmarshal(servers, &all); malformed != nil {
		return servers, nil //nolint:nilerr // the reader reports it with its key
	}
	for _, s := range all {
		var id, zone string
		if json.Unmarshal(s["id"], &id) != nil || s["zone"] != nil && json.Unmarshal(s["zone"], &zone) != nil {
			continue
		}
		if slices.Contains(d.Servers, id) || zone != "" && slices.Contains(d.Zones, zone) {
			s["draining"] = json.RawMessage("true")
		}
	}
	return json.Marshal(all)
}

// changedPolicyKey returns the first policy key in which two files differ, or the empty string if
// there is none.
func changedPolicyKey(old, now []byte) string {
	a, err := parseObject(old)
	b, err2 := parseObject(now)
	if err != nil || err2 != nil {
		return ""
	}
	for _, key := range policyKeys {
		was, is := a[key], b[key]
		if key == "settings" {
			was, is = removeKeys(was, localSettings), removeKeys(is, localSettings)
		}
		if !bytes.Equal(compact(was), compact(is)) {
			return key
		}
	}
	return ""
}

// compact removes insignificant white space from JSON text. It returns nil if the text is not JSON.
func compact(text json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		return nil
	}
	return b.Bytes()
}
