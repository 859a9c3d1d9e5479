package proxy

import (
	"context"
	"net/http/httptest"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/rpc"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// fakeOwner answers every call with the same outcome.
type fakeOwner struct {
	outcome rpc.Outcome
	found   bool
	absent  bool // its shard has no replicas, so that it is never called
	refuses bool // its address refuses connections
	// submitted receives the jobs of submissions if it is not nil.
	submitted chan<- *rpc.CreateJob
}

func (o fakeOwner) Submit(_ context.Context, r *rpc.SubmitRequest) (*rpc.SubmitResponse, error) {
	if o.submitted != nil {
		o.submitted <- r.Job
	}
	return &rpc.SubmitResponse{Outcome: o.outcome}, nil
}

func (o fakeOwner) Read(context.Context, *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	return &rpc.ReadResponse{Outcome: o.outcome, Found: o.found, Total: 3}, nil
}

func (o fakeOwner) Body(context.Context, *rpc.BodyRequest) (*rpc.BodyResponse, error) {
	return &rpc.BodyResponse{Outcome: o.outcome, Found: o.found, Body: []byte("body")}, nil
}

func (o fakeOwner) End(context.Context, *rpc.EndRequest) (*rpc.EndResponse, error) {
	return &rpc.EndResponse{Outcome: o.outcome, Found: o.found}, nil
}

func (o fakeOwner) Work(context.Context, *rpc.WorkRequest) (*rpc.WorkResponse, error) {
	return &rpc.WorkResponse{Outcome: o.outcome}, nil
}

// serveJobs starts a proxy whose batch jobs all belong to one owner.
func serveJobs(t *testing.T, owner fakeOwner) (address string) {
	t.Helper()
	server := httptest.NewServer(rpc.NewLedgerServer(owner))
	t.Cleanup(server.Close)
	if owner.refuses {
		server.Close()
	}
	p := newStatusProxy(t)
	placement := &rpc.Placement{Group: batchjobs.ShardName(0)}
	if !owner.absent {
		placement.Replicas = []*rpc.Replica{{Address: strings.TrimPrefix(server.URL, "http://")}}
	}
	p.jobOwners.UpdatePlacement(placement)
	return serveProxy(t, p)
}

// callJobs sends a request to a proxy whose batch jobs all belong to one owner, and returns the answer.
func callJobs(t *testing.T, owner fakeOwner, method, host, path, body string) *fasthttp.Response {
	t.Helper()
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + serveJobs(t, owner) + path)
	request.UseHostHeader = true
	request.Header.SetHost(host)
	request.Header.Set("Request-Id", "r")
	request.SetBodyString(body)
	response := &fasthttp.Response{}
	if err := fasthttp.DoTimeout(&request, response, testTimeout); err != nil {
		t.Fatal(err)
	}
	return response
}

// Each outcome of a call to the owner leads to the status that the package documentation lists.
// Since 503 guarantees that nothing was stored, only reads and calls without effect get it.
func TestJobStatusByOwnerOutcome(t *testing.T) {
	const (
		job        = "/api/lots/j"
		item       = "/api/items/j?id=i"
		submission = `{"requests":[{"id":"a","path":"/x"}]}`
	)
	done, missing := fakeOwner{outcome: rpc.Outcome_DONE, found: true}, fakeOwner{outcome: rpc.Outcome_DONE}
	unavailable, unknown := fakeOwner{outcome: rpc.Outcome_UNAVAILABLE}, fakeOwner{outcome: rpc.Outcome_OUTCOME_UNKNOWN}
	absent, refusing := fakeOwner{absent: true}, fakeOwner{refuses: true}
	for _, test := range []struct {
		name   string
		owner  fakeOwner
		method string
		path   string
		body   string
		status int
		text   string
	}{
		{"submitted", done, "POST", "/x", submission, 202, ""},
		{"not submitted", absent, "POST", "/x", submission, 503, "batch job not stored: shard owner unavailable"},
		{"not submitted: connection refused", refusing, "POST", "/x", submission, 503, "batch job not stored: shard owner unavailable"},
		{"submission with invalid UTF-8", done, "POST", "/x", "{\"requests\":[{\"id\":\"a\xff\",\"path\":\"/x\"}]}", 400, "batch job: body is not valid UTF-8"},
		{"submission outcome unknown", unknown, "POST", "/x", submission, 504, "submission not confirmed by the shard owner; the batch job may have been stored"},
		{"read", done, "GET", job, "", 200, `{"total":3`},
		{"read of an unknown job", missing, "GET", job, "", 404, "no such batch job"},
		{"not read", unavailable, "GET", job, "", 503, "batch job not read: no answer from the shard owner"},
		{"read outcome unknown", unknown, "GET", job, "", 503, "batch job not read: no answer from the shard owner"},
		{"cancelled", done, "DELETE", job, "", 200, ""},
		{"cancellation of an unknown job", missing, "DELETE", job, "", 404, "no such batch job"},
		{"not cancelled", unavailable, "DELETE", job, "", 503, "batch job not cancelled: shard owner unavailable"},
		{"not cancelled: connection refused", refusing, "DELETE", job, "", 503, "batch job not cancelled: shard owner unavailable"},
		{"cancellation outcome unknown", unknown, "DELETE", job, "", 504, "cancellation not confirmed by the shard owner; the batch job may have been cancelled"},
		{"item", done, "GET", item, "", 200, "body"},
		{"unknown item", missing, "GET", item, "", 404, "no such item"},
		{"another method for an item", done, "POST", item, "", 405, "method not allowed: want GET"},
		{"item not read", unavailable, "GET", item, "", 503, "item not read: no answer from the shard owner"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel() // the failure cases take seconds
			is := is.New(t)
			response := callJobs(t, test.owner, test.method, "deployment", test.path, test.body)
			is.Equal(response.StatusCode(), test.status)
			is.True(strings.HasPrefix(string(response.Body()), test.text))
			is.Equal(len(response.Header.Peek("Retry-After")) > 0, test.status == 503)
		})
	}
}

// A stored batch job names the configuration under which it was accepted, so that no gatherer with an
// older one runs its items or gives them up.
func TestSubmitJob_ConfigurationVersion(t *testing.T) {
	is := is.New(t)
	submitted := make(chan *rpc.CreateJob, 1)
	owner := fakeOwner{outcome: rpc.Outcome_DONE, submitted: submitted}
	response := callJobs(t, owner, fasthttp.MethodPost, "deployment", "/x", `{"requests":[{"id":"a","path":"/x"}]}`)
	is.Equal(response.StatusCode(), fasthttp.StatusAccepted)
	is.Equal((<-submitted).ConfigurationVersion, uint64(1))
}

// Guards against a 404 for a batch job at a gatherer whose configuration has no route of its host: the
// owner of the shard decides, and without an answer of the owner the status is 503.
func TestJobOfUnknownHost(t *testing.T) {
	for name, test := range map[string]struct {
		owner        fakeOwner
		method, path string
		status       int
	}{
		"read":              {fakeOwner{outcome: rpc.Outcome_DONE, found: true}, "GET", "/api/lots/j", 200},
		"read, unknown job": {fakeOwner{outcome: rpc.Outcome_DONE}, "GET", "/api/lots/j", 404},
		"read, no owner":    {fakeOwner{absent: true}, "GET", "/api/lots/j", 503},
		"cancelled":         {fakeOwner{outcome: rpc.Outcome_DONE, found: true}, "DELETE", "/api/lots/j", 200},
		"item":              {fakeOwner{outcome: rpc.Outcome_DONE, found: true}, "GET", "/api/items/j?id=i", 200},
		"item, no owner":    {fakeOwner{absent: true}, "GET", "/api/items/j?id=i", 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // the failure cases take seconds
			is := is.New(t)
			response := callJobs(t, test.owner, test.method, "not-configured", test.path, "")
			is.Equal(response.StatusCode(), test.status)
		})
	}
}
