// Package configuration reads, checks, changes and looks up the operator's configurations.
package configuration

//go:generate easyjson -no_std_marshalers document.go

// Document is a configuration as the operator sends it.
//
//easyjson:json
type Document struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route says which requests go where, and how long they may take.
//
//easyjson:json
type Route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"pathPrefix"`
	Type            string   `json:"type"`
	TimeoutMS       float64  `json:"timeoutMs"`
	TargetLatencyMS float64  `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service"`
	TrafficSplit    []Target `json:"trafficSplit"`
	MaxAttempts     int      `json:"maxAttempts"`
	MaxQueueS       float64  `json:"maxQueueS"`
	DeadlineMS      float64  `json:"deadlineMs"`
	OnPolicy        bool     `json:"onPolicy"`
	SessionAffinity bool     `json:"sessionAffinity"`
	Resumable       bool     `json:"resumable"`
}

// Target is a service's part in a route.
//
//easyjson:json
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a kind of worker.
//
//easyjson:json
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Engine         *Engine `json:"engine"`
}

// Engine tells what model workers can do.
//
//easyjson:json
type Engine struct {
	Capacity      int     `json:"capacity"`
	KVCacheTokens int64   `json:"kvCacheTokens"`
	Stride        int     `json:"stride"`
	Models        []Model `json:"models"`
}

// Model is a model that a service's workers hold.
//
//easyjson:json
type Model struct {
	Name string `json:"name"`
}

// Limits bound what clients may send.
//
//easyjson:json
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int     `json:"maxBodyBytes"`
	HeaderTimeoutMS float64 `json:"headerTimeoutMs"`
	IdleTimeoutMS   float64 `json:"idleTimeoutMs"`
}

// The types of routes.
const (
	TypeIdempotent    = "idempotent"
	TypeNonIdempotent = "non_idempotent"
	TypeStreaming     = "streaming"
	TypeDeployment    = "deployment"
)
