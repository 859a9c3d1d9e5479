package configuration

import (
	"slices"
	"strings"
)

// Table is an index of the routes and services of one document. It is immutable and safe for concurrent
// use. The routes and services that it returns are those of the document and must not be modified.
type Table struct {
	Version uint64 // of the document; 0 for a table without a document
	Limits  Limits

	routesByHost       map[string][]*Route // longest prefix first
	services           map[string]*Service // by name
	deploymentServices []string
}

// NewTable returns the table of a document, which must not be modified afterwards.
func NewTable(d *Document) *Table {
	t := &Table{Version: d.Version, Limits: d.Limits, routesByHost: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range d.Routes {
		route := &d.Routes[i]
		t.routesByHost[route.Host] = append(t.routesByHost[route.Host], route)
		if route.Type != TypeDeployment {
			continue
		}
		for _, target := range route.Targets() {
			if target.Weight > 0 && !slices.Contains(t.deploymentServices, target.Service) {
				t.deploymentServices = append(t.deploymentServices, target.Service)
			}
		}
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// Find returns the route of host with the longest prefix of path, or nil if there is none. It ignores
// the query and the fragment of path. If a host with a port has no routes, those of the host without
// the port are used.
func (t *Table) Find(host, path string) *Route {
	if end := strings.IndexAny(path, "?#"); end >= 0 {
		path = path[:end]
	}
	routes, ok := t.routesByHost[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.routesByHost[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// DeploymentServices returns the names of the services that routes of batch jobs target with a weight
// above 0, in the order of the routes. The slice is shared and must not be modified.
func (t *Table) DeploymentServices() []string { return t.deploymentServices }

// ServicesWithModel returns the sorted names of the services whose workers have a model.
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

// Targets returns the target services of the route with their weights. The slice may be that of the
// route and must not be modified.
func (r *Route) Targets() []Target {
	if len(r.TrafficSplit) == 0 {
		return []Target{{Service: r.Service, Weight: 1}}
	}
	return r.TrafficSplit
}

// Allows reports whether a service is a target of the route with a weight above 0.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Targets(), func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Idempotent reports whether a request of this route may run more than once, either because of the
// route's type or because its streams are resumable.
func (r *Route) Idempotent() bool {
	switch r.Type {
	case TypeIdempotent, TypeDeployment:
		return true
	case TypeStreaming:
		return r.Resumable
	}
	return false
}
