package configuration

import (
	"slices"
	"strings"
)

// Table looks up routes. It doesn't change once it is made.
type Table struct {
	Version            uint64
	Limits             Limits
	hosts              map[string][]*Route // longest prefix first
	services           map[string]*Service
	deploymentServices []string // services that batch jobs go to
}

// NewTable makes a table of a configuration.
func NewTable(d *Document) *Table {
	t := &Table{Version: d.Version, Limits: d.Limits, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range d.Routes {
		route := &d.Routes[i]
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
		if route.Type != TypeDeployment {
			continue
		}
		for _, target := range route.Targets() {
			if target.Weight > 0 && !slices.Contains(t.deploymentServices, target.Service) {
				t.deploymentServices = append(t.deploymentServices, target.Service)
			}
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// Find returns the route of a host and path; nil where there is none.
func (t *Table) Find(host, path string) *Route {
	if end := strings.IndexAny(path, "?#"); end >= 0 {
		path = path[:end]
	}
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service; nil where there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// DeploymentServices names the services that batch jobs' routes go to.
func (t *Table) DeploymentServices() []string { return t.deploymentServices }

// HasHost tells whether any route has a host.
func (t *Table) HasHost(host string) bool {
	name, _, _ := strings.Cut(host, ":")
	return len(t.hosts[host]) > 0 || len(t.hosts[name]) > 0
}

// ServicesWithModel names the services that hold a model, in order.
func (t *Table) ServicesWithModel(model string) (names []string) {
	for name, service := range t.services {
		if service.Engine == nil {
			continue
		}
		if slices.ContainsFunc(service.Engine.Models, func(m Model) bool { return m.Name == model }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Targets are the services that a route's requests may go to, with their weights.
func (r *Route) Targets() []Target {
	if len(r.TrafficSplit) == 0 {
		return []Target{{Service: r.Service, Weight: 1}}
	}
	return r.TrafficSplit
}

// Allows tells whether a route's requests may go to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Targets(), func(s Target) bool { return s.Service == service && s.Weight > 0 })
}

// Idempotent tells whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Type == TypeIdempotent || r.Type == TypeDeployment || r.Type == TypeStreaming && r.Resumable
}
