package configuration

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/mailru/easyjson"
)

// ParseTrusted decodes a document without validating it. The document must have been accepted by Parse
// before, such as one from the directory.
func ParseTrusted(body []byte) (*Document, error) {
	d := &Document{}
	if err := easyjson.Unmarshal(body, d); err != nil {
		return nil, fmt.Errorf("configuration: decode document: %w", err)
	}
	return d, nil
}

// Parse decodes and validates a complete document. If the document is inconsistent, the error joins all
// problems, each with its location, and the document is returned with it.
func Parse(body []byte) (*Document, error) {
	if !json.Valid(body) {
		return nil, errors.New("configuration: document is not valid JSON")
	}
	d, err := ParseTrusted(body)
	if err != nil {
		return nil, err
	}
	return d, d.check()
}

// check returns all problems of the document, joined by errors.Join.
func (d *Document) check() error {
	var faults []error
	if d.Version == 0 {
		faults = append(faults, errors.New("version: must be above 0"))
	}
	services := map[string]bool{}
	for i, service := range d.Services {
		if service.Name == "" {
			faults = append(faults, fmt.Errorf("services[%d].name: is missing", i))
		}
		services[service.Name] = true
	}
	faults = append(faults, d.checkRoutes(services)...)
	return errors.Join(faults...)
}

// checkRoutes checks each route, and that no two routes have the same host and path prefix.
func (d *Document) checkRoutes(services map[string]bool) (faults []error) {
	type hostAndPrefix struct{ host, prefix string }
	taken := map[hostAndPrefix]string{}
	for i := range d.Routes {
		route := &d.Routes[i]
		place := fmt.Sprintf("routes[%d] (%s)", i, route.Name)
		key := hostAndPrefix{route.Host, route.PathPrefix}
		if other, ok := taken[key]; ok {
			faults = append(faults, fmt.Errorf("%s: host and pathPrefix are the same as those of %s", place, other))
		}
		taken[key] = place
		if route.TimeoutMS <= 0 {
			faults = append(faults, fmt.Errorf("%s.timeoutMs: must be above 0", place))
		}
		if err := route.checkTargets(services); err != nil {
			faults = append(faults, fmt.Errorf("%s%w", place, err))
		}
	}
	return faults
}

// checkTargets checks that the route's services exist and that at least one has a weight above 0. The
// error begins with the key within the route.
func (r *Route) checkTargets(services map[string]bool) error {
	if len(r.TrafficSplit) == 0 {
		if !services[r.Service] {
			return fmt.Errorf(".service: unknown service %q", r.Service)
		}
		return nil
	}
	sum := 0.0
	for i, target := range r.TrafficSplit {
		if !services[target.Service] {
			return fmt.Errorf(".trafficSplit[%d].service: unknown service %q", i, target.Service)
		}
		if target.Weight < 0 {
			return fmt.Errorf(".trafficSplit[%d].weight: must be 0 or more", i)
		}
		sum += target.Weight
	}
	if sum <= 0 {
		return errors.New(".trafficSplit: sum of weights must be above 0")
	}
	return nil
}
