package configuration

//go:generate easyjson -no_std_marshalers document.go

// The types of routes, the values of Route.Type. Any other value is treated like TypeNonIdempotent.
const (
	TypeIdempotent    = "idempotent"     // requests that may run several times
	TypeNonIdempotent = "non_idempotent" // requests that must not run twice
	TypeStreaming     = "streaming"      // requests whose answer is a stream of events
	TypeDeployment    = "deployment"     // batch jobs of trainers
)

// Document is a configuration as the operator sends it. Keys that it does not have are ignored by Parse and kept by ApplyPatch.
//
//easyjson:json
type Document struct {
	Version  uint64    `json:"version"` // above that of the configuration it replaces
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route says where the requests of a host and path prefix go, and within which bounds. Names ending in MS are milliseconds, in S seconds.
//
//easyjson:json
type Route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`            // compared as it is; see Table.Find
	PathPrefix      string   `json:"pathPrefix"`      // the longest one that matches is used
	Type            string   `json:"type"`            // one of the Type constants
	TimeoutMS       float64  `json:"timeoutMs"`       // bound of one request, above 0; a batch job has at least as long
	TargetLatencyMS float64  `json:"targetLatencyMs"` // what the route's requests are expected to take while none was measured
	Priority        int      `json:"priority"`        // of batch jobs; negative counts as 0
	Service         string   `json:"service"`         // the only service, if there is no TrafficSplit
	TrafficSplit    []Target `json:"trafficSplit"`    // takes precedence over Service
	MaxAttempts     int      `json:"maxAttempts"`     // for one request; below 1 counts as 1
	MaxQueueS       float64  `json:"maxQueueS"`       // of batch jobs
	DeadlineMS      float64  `json:"deadlineMs"`      // of batch jobs
	OnPolicy        bool     `json:"onPolicy"`        // all tokens of a text must come from one version of the weights
	SessionAffinity bool     `json:"sessionAffinity"`
	Resumable       bool     `json:"resumable"` // a broken stream may be continued at another worker
}

// Target is a service that a route's requests may go to.
//
//easyjson:json
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the other targets of the route; with 0 the service gets no requests
}

// Service is a kind of worker. Workers name their service in their heartbeats.
//
//easyjson:json
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Engine         *Engine `json:"engine"` // nil for a service without models
}

// Engine describes what the workers of a service with models can do.
//
//easyjson:json
type Engine struct {
	Capacity      int     `json:"capacity"`
	KVCacheTokens int64   `json:"kvCacheTokens"`
	Stride        int     `json:"stride"`
	Models        []Model `json:"models"`
}

// Model is a model that a service's workers have.
//
//easyjson:json
type Model struct {
	Name string `json:"name"`
}

// Limits are the bounds on what clients may send, as configured. The scheduler does not enforce them.
//
//easyjson:json
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMS float64 `json:"headerTimeoutMs"`
	IdleTimeoutMS   float64 `json:"idleTimeoutMs"`
}
