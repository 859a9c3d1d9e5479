package proxy

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/agent"
	"saffronquay/internal/scheduler/batchclient"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/rpc"
	"time"
	"unicode/utf8"

	"github.com/valyala/fasthttp"
)

const (
	submitTimeout     = 2500 * time.Millisecond // of submissions and cancellations
	policyCallTimeout = 2 * time.Second
)

// submitJob stores a batch job at the owner of its host's shard. Status 202 means that a majority
// of the replicas has stored it. The trainer may repeat the submission after 503 and 504, since the
// job is identified by its Request-Id. version is that of the configuration that has the route.
func (p *Proxy) submitJob(ctx *fasthttp.RequestCtx, version uint64, route *configuration.Route, host string) {
	id := string(ctx.Request.Header.Peek("Request-Id"))
	if id == "" || !utf8.ValidString(id) || !ctx.IsPost() {
		answer(ctx, fasthttp.StatusBadRequest, "batch job must be a POST request with a UTF-8 Request-Id header")
		return
	}
	job, err := batchjobs.ParseSubmission(ctx.PostBody())
	if err != nil {
		answer(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !utf8.ValidString(host) || !utf8.Valid(ctx.Path()) {
		answer(ctx, fasthttp.StatusBadRequest, "host and path of a batch job must be UTF-8")
		return
	}
	job.Id, job.Host, job.Path, job.SentUnixMs = id, host, string(ctx.Path()), time.Now().UnixMilli()
	job.ConfigurationVersion = version
	setLimits(job, route)
	p.reportPolicy(job.Model, route.OnPolicy)
	shard := p.jobOwners.ShardOfHost(host)
	if shard == "" {
		reject(ctx, "batch job not stored: shard placement not known yet")
		return
	}
	_, err = callOwner(p, shard, submitTimeout, 0, func(ctx context.Context, owner rpc.Ledger) (*rpc.SubmitResponse, error) {
		return owner.Submit(ctx, &rpc.SubmitRequest{Shard: shard, Job: job})
	})
	switch {
	case err == nil:
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case errors.Is(err, batchclient.ErrUnavailable):
		reject(ctx, "batch job not stored: shard owner unavailable")
	default:
		answer(ctx, fasthttp.StatusGatewayTimeout, "submission not confirmed by the shard owner; the batch job may have been stored")
	}
}

// setLimits copies a route's limits to a job.
func setLimits(job *rpc.CreateJob, route *configuration.Route) {
	const msPerSecond = 1000
	job.DeadlineMs, job.MaxQueueMs = uint32(route.DeadlineMS), uint32(route.MaxQueueS*msPerSecond)
	job.GiveUpMs = uint32(max(route.TimeoutMS, route.DeadlineMS))
	job.MaxAttempts, job.SingleVersion, job.Priority = uint32(max(route.MaxAttempts, 1)), route.OnPolicy, uint32(max(route.Priority, 0))
}

// reportPolicy reports to the directory whether the texts of a model must come from one version of
// the weights. It does nothing if the directory already knows the policy or a call is in flight. A
// known policy changes only from false to true. The call runs in the background.
func (p *Proxy) reportPolicy(model string, singleVersion bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.policies[model]
	if model == "" || ok && (known || !singleVersion) || p.policyCalls[model] {
		return
	}
	p.policyCalls[model] = true
	go p.callPolicy(model, singleVersion)
}

// callPolicy makes the call for reportPolicy. The directory confirms the policy through the feed.
func (p *Proxy) callPolicy(model string, singleVersion bool) {
	ctx, cancel := context.WithTimeout(context.Background(), policyCallTimeout)
	defer cancel()
	control := rpc.NewControlProtobufClient("http://"+agent.Address(p.settings), p.client)
	// An error is ignored: the next submission repeats the call unless the feed has confirmed the
	// policy by then.
	_, _ = control.NotePolicy(ctx, &rpc.ModelPolicy{Model: model, SingleVersion: singleVersion})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.policyCalls, model)
}
