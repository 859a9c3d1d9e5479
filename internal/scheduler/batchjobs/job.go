// Package batchjobs keeps batch jobs. A shard's replica group agrees on which jobs were accepted, which results stand at which positions,
// and which jobs have ended; the shard's owner hands the items out to gatherers under leases and settles what they report.
package batchjobs

import (
	"errors"
	"fmt"
	"hash/fnv"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"github.com/mailru/easyjson"
)

//go:generate easyjson -no_std_marshalers job.go

// Submission is a batch job as a trainer sends it.
//
//easyjson:json
type Submission struct {
	Step       int64           `json:"step"`
	Model      string          `json:"model"`
	MinVersion uint64          `json:"minVersion"`
	Desired    uint32          `json:"desired"`
	Requests   []SubmittedItem `json:"requests"`
}

// SubmittedItem is one request of a batch job.
//
//easyjson:json
type SubmittedItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  uint32            `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  *SubmittedScorer  `json:"scorer"`
}

// SubmittedScorer is the call that an item's text is scored by.
//
//easyjson:json
type SubmittedScorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Page is a part of a batch job's results as a trainer reads it.
//
//easyjson:json
type Page struct {
	Total     int          `json:"total"`
	NextToken int          `json:"nextToken"`
	Results   []PageResult `json:"results"`
}

// PageResult is one result.
//
//easyjson:json
type PageResult struct {
	ID             string   `json:"id"`
	State          string   `json:"state"`
	Text           string   `json:"text"`
	WeightVersions []uint64 `json:"weightVersions"`
	Score          string   `json:"score,omitempty"`
}

// The states of a result.
const (
	Completed = "completed"
	Abandoned = "abandoned"
)

// ParseSubmission reads and checks a batch job.
func ParseSubmission(body []byte) (*rpc.CreateJob, error) {
	var s Submission
	if err := easyjson.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("batch job: %w", err)
	}
	if len(s.Requests) == 0 {
		return nil, errors.New("batch job: requests: there are none")
	}
	job := &rpc.CreateJob{Model: s.Model, MinVersion: s.MinVersion, Step: s.Step, Desired: s.Desired, Items: make([]*rpc.Item, 0, len(s.Requests))}
	seen := make(map[string]bool, len(s.Requests))
	for i := range s.Requests {
		r := &s.Requests[i]
		if r.ID == "" || seen[r.ID] {
			return nil, fmt.Errorf("batch job: requests[%d].id: %q is missing or stands twice", i, r.ID)
		}
		seen[r.ID] = true
		job.Items = append(job.Items, r.item())
	}
	return job, nil
}

func (r *SubmittedItem) item() *rpc.Item {
	item := &rpc.Item{Id: r.ID, Path: r.Path, Body: r.Body, Tokens: r.Tokens, Group: r.Group}
	for name, value := range r.Headers {
		item.Headers = append(item.Headers, &rpc.Header{Name: name, Value: value})
	}
	slices.SortFunc(item.Headers, func(a, b *rpc.Header) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if r.Scorer != nil {
		item.Scorer = &rpc.Scorer{Id: r.Scorer.ID, Host: r.Scorer.Host, Path: r.Scorer.Path, Body: r.Scorer.Body}
	}
	return item
}

// NewPage makes the answer to a trainer's read.
func NewPage(r *rpc.ReadResponse, after int) (*Page, error) {
	page := &Page{Total: int(r.Total), NextToken: after + len(r.Results), Results: make([]PageResult, 0, len(r.Results))}
	for _, result := range r.Results {
		state := Abandoned
		if result.Completed {
			state = Completed
		}
		versions := result.WeightVersions
		if versions == nil {
			versions = []uint64{}
		}
		text, err := compression.Texts.Unpack(result.Text)
		if err != nil {
			return nil, err
		}
		page.Results = append(page.Results, PageResult{ID: result.Item, State: state, Text: string(text), WeightVersions: versions, Score: result.Score})
	}
	return page, nil
}

const shardPrefix = "ledger-"

// ShardName is the name of a shard and of its group.
func ShardName(n int) string { return fmt.Sprintf("%s%d", shardPrefix, n) }

// ShardOf is the shard, of so many, that the jobs of a host belong to.
func ShardOfHost(host string, shards int) string {
	h := fnv.New32a()
	h.Write([]byte(host))
	return ShardName(int(h.Sum32() % uint32(max(shards, 1))))
}

// ShardsIn is the number of shards that a set of groups holds; 0 while shard 0, which is placed last, is missing.
func PlacedShardCount(has func(group string) bool) int {
	if !has(ShardName(0)) {
		return 0
	}
	n := 1
	for has(ShardName(n)) {
		n++
	}
	return n
}

// machinesPerShard is the number of storage machines that one shard is founded for.
const machinesPerShard = 6

// ShardsFor is the number of shards that a system with so many storage machines is founded with.
func InitialShardCount(machines int) int { return 1 + max(machines-1, 0)/machinesPerShard }
