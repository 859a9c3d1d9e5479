package configuration

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/mailru/easyjson"
)

// ParseTrusted reads a configuration that was checked before, as gatherers do: what the directory holds is valid.
func ParseTrusted(body []byte) (*Document, error) {
	d := &Document{}
	if err := easyjson.Unmarshal(body, d); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return d, nil
}

// Parse reads a whole configuration and checks it by itself. All faults are named at once, each with where it stands.
func Parse(body []byte) (*Document, error) {
	if !json.Valid(body) {
		return nil, errors.New("configuration: not valid JSON")
	}
	d, err := ParseTrusted(body)
	if err != nil {
		return nil, err
	}
	return d, d.check()
}

func (d *Document) check() error {
	var faults []error
	fault := func(format string, values ...any) { faults = append(faults, fmt.Errorf(format, values...)) }
	if d.Version == 0 {
		fault("version: want a number above 0")
	}
	services := map[string]bool{}
	for i, service := range d.Services {
		if service.Name == "" {
			fault("services[%d].name: is missing", i)
		}
		services[service.Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for i := range d.Routes {
		route := &d.Routes[i]
		at := fmt.Sprintf("routes[%d] (%s)", i, route.Name)
		here := place{route.Host, route.PathPrefix}
		if other, ok := places[here]; ok {
			fault("%s: has the host and prefix of %s", at, other)
		}
		places[here] = at
		if route.TimeoutMS <= 0 {
			fault("%s.timeoutMs: want more than 0", at)
		}
		if err := route.checkTargets(services); err != nil {
			fault("%s%w", at, err)
		}
	}
	return errors.Join(faults...)
}

func (r *Route) checkTargets(services map[string]bool) error {
	if len(r.TrafficSplit) == 0 {
		if !services[r.Service] {
			return fmt.Errorf(".service: unknown service %q", r.Service)
		}
		return nil
	}
	sum := 0.0
	for j, share := range r.TrafficSplit {
		if !services[share.Service] {
			return fmt.Errorf(".trafficSplit[%d].service: unknown service %q", j, share.Service)
		}
		if share.Weight < 0 {
			return fmt.Errorf(".trafficSplit[%d].weight: is below 0", j)
		}
		sum += share.Weight
	}
	if sum <= 0 {
		return errors.New(".trafficSplit: the weights add up to 0")
	}
	return nil
}

// Patch is the operator's request to alter named items.
type Patch struct {
	Version uint64                                `json:"version"`
	Upsert  map[string][]json.RawMessage          `json:"upsert"`
	Remove  map[string][]string                   `json:"remove"`
	Limits  json.RawMessage                       `json:"limits"`
	Other   map[string]map[string]json.RawMessage `json:"-"`
}

// ApplyPatch returns a configuration's text with a change made to it.
func ApplyPatch(body, change []byte) ([]byte, error) {
	var c Patch
	if err := json.Unmarshal(change, &c); err != nil {
		return nil, fmt.Errorf("configuration: change: %w", err)
	}
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(body, &whole); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	whole["version"] = json.RawMessage(fmt.Sprint(c.Version))
	if len(c.Limits) > 0 {
		whole["limits"] = c.Limits
	}
	for key, names := range c.Remove {
		if err := editList(whole, key, nil, names); err != nil {
			return nil, err
		}
	}
	for key, items := range c.Upsert {
		if err := editList(whole, key, items, nil); err != nil {
			return nil, err
		}
	}
	return json.Marshal(whole)
}

// editList replaces or adds items of a list by their names, and removes others.
func editList(whole map[string]json.RawMessage, key string, items []json.RawMessage, remove []string) error {
	var list []json.RawMessage
	if raw, ok := whole[key]; ok {
		if err := json.Unmarshal(raw, &list); err != nil {
			return fmt.Errorf("configuration: %s: %w", key, err)
		}
	}
	at := map[string]int{}
	for i, item := range list {
		at[itemName(item)] = i
	}
	for _, item := range items {
		name := itemName(item)
		if name == "" {
			return fmt.Errorf("configuration: upsert.%s: an item has no name", key)
		}
		if i, ok := at[name]; ok {
			list[i] = item
			continue
		}
		at[name] = len(list)
		list = append(list, item)
	}
	for _, name := range remove {
		if i, ok := at[name]; ok {
			list[i] = nil
		}
	}
	kept := make([]json.RawMessage, 0, len(list))
	for _, item := range list {
		if item != nil {
			kept = append(kept, item)
		}
	}
	raw, err := json.Marshal(kept)
	whole[key] = raw
	return err
}

func itemName(item json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.Name
}
