package batchjobs

import (
	"errors"
	"fmt"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/mailru/easyjson"
)

//go:generate easyjson -no_std_marshalers job.go

// Submission is the JSON document of a batch job that a trainer submits. Desired is the number of
// groups that the trainer waits for, 0 for all. Unknown fields are ignored.
//
//easyjson:json
type Submission struct {
	Step       int64           `json:"step"`
	Model      string          `json:"model"`
	MinVersion uint64          `json:"minVersion"`
	Desired    uint32          `json:"desired"`
	Requests   []SubmittedItem `json:"requests"`
}

// SubmittedItem is one request of a submission. Its ID must be unique within the job. The items of a
// Group count as one towards Submission.Desired; an item without a Group is a group of its own.
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

// SubmittedScorer is the request that scores an item's text.
//
//easyjson:json
type SubmittedScorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// Page is the JSON document of a range of a batch job's results. Total is the number of the job's
// items, NextToken the position after the last result of the page.
//
//easyjson:json
type Page struct {
	Total     int          `json:"total"`
	NextToken int          `json:"nextToken"`
	Results   []PageResult `json:"results"`
}

// PageResult is the result of one item. State is Completed or Abandoned; an abandoned item has no
// text.
//
//easyjson:json
type PageResult struct {
	ID             string   `json:"id"`
	State          string   `json:"state"`
	Text           string   `json:"text"`
	WeightVersions []uint64 `json:"weightVersions"`
	Score          string   `json:"score,omitempty"`
}

// The values of PageResult.State.
const (
	// Completed means that a worker finished the item.
	Completed = "completed"
	// Abandoned means that the item failed too often or was not finished in time. It is not retried.
	Abandoned = "abandoned"
)

// ParseSubmission decodes and validates a batch job. The returned job does not refer to body, which
// the caller may reuse. The error's text is meant for the trainer.
func ParseSubmission(body []byte) (*rpc.CreateJob, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("batch job: body is not valid UTF-8")
	}
	var submission Submission
	if err := easyjson.Unmarshal(body, &submission); err != nil {
		return nil, fmt.Errorf("batch job: decode: %w", err)
	}
	if len(submission.Requests) == 0 {
		return nil, errors.New("batch job: requests: must not be empty")
	}
	job := &rpc.CreateJob{
		Model: submission.Model, MinVersion: submission.MinVersion, Step: submission.Step, Desired: submission.Desired,
		Items: make([]*rpc.Item, 0, len(submission.Requests)),
	}
	seen := make(map[string]bool, len(submission.Requests))
	for i := range submission.Requests {
		r := &submission.Requests[i]
		if r.ID == "" || seen[r.ID] {
			return nil, fmt.Errorf("batch job: requests[%d].id: %q is empty or a duplicate", i, r.ID)
		}
		seen[r.ID] = true
		job.Items = append(job.Items, r.item())
	}
	return job, nil
}

// item converts a submitted item. It sorts headers by name, so that the encoding of a submission is
// deterministic.
func (r *SubmittedItem) item() *rpc.Item {
	item := &rpc.Item{Id: r.ID, Path: r.Path, Body: r.Body, Tokens: r.Tokens, Group: r.Group}
	for name, value := range r.Headers {
		item.Headers = append(item.Headers, &rpc.Header{Name: name, Value: value})
	}
	slices.SortFunc(item.Headers, func(a, b *rpc.Header) int { return strings.Compare(a.Name, b.Name) })
	if r.Scorer != nil {
		item.Scorer = &rpc.Scorer{Id: r.Scorer.ID, Host: r.Scorer.Host, Path: r.Scorer.Path, Body: r.Scorer.Body}
	}
	return item
}

// NewPage converts the results that start at position after to a page. It returns an error if the
// text of a result cannot be decompressed.
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
		text, err := compression.Texts.Decompress(result.Text)
		if err != nil {
			return nil, err
		}
		page.Results = append(page.Results, PageResult{ID: result.Item, State: state, Text: string(text), WeightVersions: versions, Score: result.Score})
	}
	return page, nil
}
