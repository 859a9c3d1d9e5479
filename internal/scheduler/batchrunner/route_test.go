package batchrunner

import (
	"context"
	"net/textproto"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/rpc"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// Guards against items that were given up by a gatherer whose configuration did not have the route of
// their new job yet: only a configuration that is as new as the job and as any that the owner knows of
// proves that a route is gone.
func TestRunItem_RouteMissing(t *testing.T) {
	abandoned := &rpc.Report{Result: &rpc.Result{}}
	outdated := &rpc.Report{Released: true, OutdatedConfiguration: 1}
	for name, test := range map[string]struct {
		host, scorerHost string
		accepted, newest uint64
		want             *rpc.Report
	}{
		"route removed": {host: "gone", accepted: 1, newest: 1, want: abandoned},
		"route removed, owner of an earlier build":       {host: "gone", want: abandoned},
		"version lost by a snapshot of an earlier build": {host: "gone", newest: 1, want: outdated},
		"route added later":                              {host: "new", accepted: 2, newest: 2, want: outdated},
		"other gatherers have a newer version":           {host: "new", accepted: 1, newest: 2, want: outdated},
		"route changed later":                            {host: "h", accepted: 2, newest: 2, want: outdated},
		"reward route added later":                       {host: "h", scorerHost: "new", accepted: 1, newest: 2, want: outdated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			heads := make(chan textproto.MIMEHeader, 1)
			r := newRunner(t, startFakeWorker(t, heads, lastPart, false)) // of configuration version 1
			lease := newLease(0)
			lease.Host, lease.ConfigurationVersion, lease.NewestConfiguration = test.host, test.accepted, test.newest
			if test.scorerHost != "" {
				lease.Item.Scorer = &rpc.Scorer{Id: "score", Host: test.scorerHost, Path: "/score"}
			}
			report := r.runItem(context.Background(), lease)
			is.True(proto.Equal(report, test.want))
			is.Equal(len(heads) == 1, test.scorerHost != "") // an item without a usable route reaches no worker
		})
	}
}

// Guards against items that were given up because the route of their reward call was absent for some seconds:
// the whole text is kept, and the call is made once the route is back.
func TestRunItem_RewardRouteReturns(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	heads := make(chan textproto.MIMEHeader, 8)
	r := newRunner(t, startFakeWorker(t, heads, lastPart, false))
	scorer := startFakeWorker(t, heads, "HTTP/1.1 200 OK\r\nRequest-Id: score\r\nResponse-Stamp: stamp\r\nContent-Length: 0\r\n\r\n", false)
	r.Forwarder.Table.PutWorker(&rpc.Instance{Id: "scorer", Service: "scorers", Address: scorer, Capacity: 4})
	without := newConfiguration(t, 2, itemRoute)
	with := newConfiguration(t, 3, itemRoute, `{"name":"rewards","host":"rewards","pathPrefix":"/","type":"idempotent","timeoutMs":9000,"service":"scorers"}`)
	lookups := 0 // by the goroutine of the item
	r.Configuration = func() *configuration.Table {
		if lookups++; lookups > 4 {
			return with
		}
		return without
	}
	lease := newLease(0)
	lease.ConfigurationVersion, lease.NewestConfiguration = 1, 2
	lease.Item.Scorer = &rpc.Scorer{Id: "score", Host: "rewards", Path: "/score"}
	report := r.runItem(ctx, lease)
	is.True(report != nil && report.Result.GetCompleted())
	is.Equal(report.Result.Score, "stamp")
	is.Equal((<-heads).Get("Request-Id"), "item")
	is.Equal((<-heads).Get("Request-Id"), "score")
	is.Equal(len(heads), 0) // the text was generated once
}

// Guards against items that were given up because the configuration has no route for their reward call: at the
// item's deadline the item is handed back.
func TestScore_RewardRouteMissing(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, test := range map[string]struct {
		ctx       context.Context
		remaining time.Duration // until the item's deadline
		newest    uint64
		want      *rpc.Report
	}{
		"item's deadline is over":      {ctx: context.Background(), newest: 1, want: releaseReport()},
		"owner of an earlier build":    {ctx: context.Background(), want: releaseReport()},
		"job has ended":                {ctx: cancelled, remaining: time.Hour, newest: 1},
		"others have a newer version":  {ctx: context.Background(), remaining: time.Hour, newest: 2, want: outdatedReport(1)},
		"deadline over, newer version": {ctx: context.Background(), newest: 2, want: outdatedReport(1)},
	} {
		t.Run(name, func(t *testing.T) {
			lease := newLease(0)
			lease.Item.Scorer = &rpc.Scorer{Id: "score", Host: "gone", Path: "/score"}
			lease.NewestConfiguration = test.newest
			if test.newest > 0 {
				lease.ConfigurationVersion = 1
			}
			run := &itemRun{Runner: newRunner(t), lease: lease, deadline: time.Now().Add(test.remaining), text: newText()}
			is.New(t).True(proto.Equal(run.score(test.ctx), test.want))
		})
	}
}
