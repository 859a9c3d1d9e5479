package dayreport

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Report has the fields of a day's report that the breakdown needs. Other fields are ignored.
type Report struct {
	Worth      float64         `json:"G"` // of the day
	Components []Component     `json:"parts"`
	Charges    []Charge        `json:"prices"`
	Roles      []RoleUsage     `json:"nodes"`
	Classes    []RequestCounts `json:"classes"`
	Windows    []RequestCounts `json:"windows"` // named after their first second
	Services   []ServiceLoad   `json:"services"`
}

// Component is a component of the worth, which adds Weight times Earned. It is encoded as a list of
// three values.
type Component struct {
	Name   string
	Weight float64
	Earned float64 // fraction, 0 to 1
}

// Charge reduces the worth by Cost. It is encoded as a list of three values.
type Charge struct {
	Name   string
	Amount float64 // in the unit given by Name
	Cost   float64
}

// RoleUsage is the resource usage of the machines that run a role.
type RoleUsage struct {
	Name     string  `json:"role"`
	Class    string  `json:"class"` // of the machines
	Machines int     `json:"n"`
	Cores    float64 `json:"cpu_mean"`
	MemoryMB float64 `json:"mem_peak_mb"`
}

// RequestCounts counts the requests of a class or of a time window by outcome.
type RequestCounts struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Value    float64 `json:"worth"` // earned by the requests, as a fraction
}

// ServiceLoad is the load of the workers of a service.
type ServiceLoad struct {
	Name          string  `json:"name"`
	Arrivals      int     `json:"arrivals"`
	Rejected      int     `json:"not_run"`   // of the arrivals
	BusiestToMean float64 `json:"busiest_x"` // load of the busiest worker, as a multiple of the mean
}

// errNoComponents is returned for a JSON document that is not a report.
var errNoComponents = errors.New("dayreport: report has no score components (field parts)")

// Parse decodes a report. It returns an error if the text is not valid JSON or has no score components.
func Parse(text []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("dayreport: decode report: %w", err)
	}
	if len(r.Components) == 0 {
		return nil, errNoComponents
	}
	return r, nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Component) UnmarshalJSON(text []byte) error {
	return unmarshalTriple(text, &p.Name, &p.Weight, &p.Earned)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Charge) UnmarshalJSON(text []byte) error {
	return unmarshalTriple(text, &p.Name, &p.Amount, &p.Cost)
}

// unmarshalTriple decodes a list of a name and two numbers.
func unmarshalTriple(text []byte, name *string, first, second *float64) error {
	var row []json.RawMessage
	if err := json.Unmarshal(text, &row); err != nil {
		return err
	}
	targets := []any{name, first, second}
	if len(row) != len(targets) {
		return fmt.Errorf("want a list of %d values, got %d", len(targets), len(row))
	}
	for i, target := range targets {
		if err := json.Unmarshal(row[i], target); err != nil {
			return err
		}
	}
	return nil
}
