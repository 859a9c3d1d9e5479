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

// Rollout configures the agreement on versions of the policy.
type Rollout struct {
	Listen          netip.AddrPort
	Members         map[string]netip.AddrPort // by name; this gatherer among them
	Voters          []string                  // with regions each in its own region's agreement
	Region          string                    // of this gatherer; empty: the fleet has none
	Regions         map[string]string         // by name; nil: there are none
	Global          []string                  // voters of the global agreement, where any are named; else all voters are
	Lease, MaxPause time.Duration             // MaxPause 0: the rollout's own default
	Drift           float64
	DivideBudgets   bool // budgets of contracts are divided by leases on parts
}

// policyKeys are the keys of the operator's file that a policy may have. While a policy is in force they are not read from the file.
var policyKeys = []string{"settings", "tenants", "contracts"}

// localSettings are the keys of settings that say who this gatherer is: each file's own, whatever the policy.
var localSettings = []string{"me", "zone"}

// drains is the key of a policy alone that names servers and zones to be drained: {"servers": [...], "zones": [...]}.
const drains = "drains"

// rollout reads the section that configures the agreement on versions of the policy.
func (o *Operator) rollout(r reader) {
	r.require("listen", "members")
	x := &Rollout{
		Listen: r.addrPort("listen", r.str("listen", "")), Members: map[string]netip.AddrPort{}, Lease: ms(r, "lease_ms", 2000, 200, 60_000),
		Drift: r.float("drift", 0.01), DivideBudgets: r.boolean("share"), Region: r.str("region", ""),
	}
	if r.has("hold_ms") {
		x.MaxPause = ms(r, "hold_ms", 200, 20, 5000)
	}
	members := r.array("members")
	for _, m := range members {
		m.require("name", "address")
		name := m.str("name", "")
		if _, twice := x.Members[name]; twice {
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
			r.fault("members", "want 3, 5 or 7 voters (1 to try it out), not %d", n)
		}
	}
	if !(x.Drift > 0 && x.Drift <= 0.1) {
		r.fault("drift", "want above 0 to 0.1, not %g", x.Drift)
	}
	if x.DivideBudgets && o.Fleet != nil && o.Fleet.Contracts {
		r.fault("share", "fleet.contracts divides the contracts already: want one of the two")
	}
	if o.Store == nil {
		r.fault("", "it needs a store: what was agreed on has to outlast the process")
	}
	slices.Sort(x.Voters)
	slices.Sort(x.Global)
	o.Rollout = x
}

func objectOf(text []byte) (map[string]json.RawMessage, error) {
	var v map[string]json.RawMessage
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	return v, nil
}

// without takes keys out of an object; what is no object stays as it is.
func without(text json.RawMessage, keys []string) json.RawMessage {
	v, err := objectOf(text)
	if err != nil {
		return text
	}
	for _, k := range keys {
		delete(v, k)
	}
	if text, err = json.Marshal(v); err != nil {
		return nil // it was read from JSON
	}
	return text
}

// PolicyOf is the part of an operator's file that is policy, as a document for 'policy adopt'.
func PolicyOf(text []byte) ([]byte, error) {
	file, err := objectOf(text)
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
		policy["settings"] = without(v, localSettings)
	}
	return json.Marshal(policy)
}

// withPolicy puts a policy's keys in the place of a file's, but for what is the gatherer's own. An empty policy changes nothing.
func withPolicy(text, policy []byte) ([]byte, error) {
	if len(policy) == 0 {
		return text, nil
	}
	p, err := objectOf(policy)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	file, err := objectOf(text)
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
		if file["servers"], err = drained(file["servers"], v); err != nil {
			return nil, err
		}
	}
	return json.Marshal(file)
}

// keepLocalSettings replaces, in a policy's settings, what each gatherer's own file says.
func keepLocalSettings(file, p map[string]json.RawMessage) error {
	text, ok := p["settings"]
	if !ok {
		return nil
	}
	settings, malformed := objectOf(text)
	if malformed != nil {
		return nil //nolint:nilerr // the reader reports it, with its key
	}
	own, malformed := objectOf(file["settings"])
	if malformed != nil {
		own = nil
	}
	for _, key := range localSettings {
		if _, there := settings[key]; there {
			return fmt.Errorf("settings.%s: it is each gatherer's own, and no policy's", key)
		}
		if v, there := own[key]; there {
			settings[key] = v
		}
	}
	merged, err := json.Marshal(settings)
	p["settings"] = merged
	return err
}

// drained marks the servers that a policy drains, by their ids or zones. A server that this file lacks is no fault: files differ.
func drained(servers, text json.RawMessage) (json.RawMessage, error) {
	var d struct{ Servers, Zones []string }
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return nil, fmt.Errorf("%s: want lists of servers and zones: %w", drains, err)
	}
	var all []map[string]json.RawMessage
	if malformed := json.Unmarshal(servers, &all); malformed != nil {
		return servers, nil //nolint:nilerr // the reader reports it, with its key
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

// policyChanged names the first policy key by which two local files differ; empty: none.
func policyChanged(old, now []byte) string {
	a, err := objectOf(old)
	b, err2 := objectOf(now)
	if err != nil || err2 != nil {
		return ""
	}
	for _, key := range policyKeys {
		was, is := a[key], b[key]
		if key == "settings" {
			was, is = without(was, localSettings), without(is, localSettings)
		}
		if !bytes.Equal(compact(was), compact(is)) {
			return key
		}
	}
	return ""
}

// compact removes insignificant spaces from JSON text; of what is no JSON it returns nothing.
func compact(text json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		return nil
	}
	return b.Bytes()
}
