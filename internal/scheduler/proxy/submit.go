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

// submitJob stores a batch job at the owner of its host's shard. 202 says that a majority has it. The trainer may repeat the same submission
// after 503 and 504: the job is identified by its Request-Id.
func (p *Proxy) submitJob(ctx *fasthttp.RequestCtx, route *configuration.Route, host string) {
	id := string(ctx.Request.Header.Peek("Request-Id"))
	if id == "" || !utf8.ValidString(id) || !ctx.IsPost() {
		answer(ctx, fasthttp.StatusBadRequest, "a batch job is a POST with a Request-Id")
		return
	}
	job, err := batchjobs.ParseSubmission(ctx.PostBody())
	if err != nil {
		answer(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !utf8.ValidString(host) || !utf8.Valid(ctx.Path()) {
		answer(ctx, fasthttp.StatusBadRequest, "a batch job's host and path are UTF-8")
		return
	}
	job.Id, job.Host, job.Path, job.SentUnixMs = id, host, string(ctx.Path()), time.Now().UnixMilli()
	setLimits(job, route)
	p.reportPolicy(job.Model, route.OnPolicy)
	shard := p.jobOwners.ShardOfHost(host)
	if shard == "" {
		reject(ctx, "batch jobs can't be kept yet")
		return
	}
	_, err = callOwner(p, shard, submitTimeout, 0, func(ctx context.Context, owner rpc.Ledger) (*rpc.SubmitResponse, error) {
		return owner.Submit(ctx, &rpc.SubmitRequest{Shard: shard, Job: job})
	})
	switch {
	case err == nil:
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case errors.Is(err, batchclient.ErrUnavailable):
		reject(ctx, "batch jobs can't be kept now")
	default:
		answer(ctx, fasthttp.StatusGatewayTimeout, "the batch job may have been taken")
	}
}

// setLimits copies the limits of a route to a job.
func setLimits(job *rpc.CreateJob, route *configuration.Route) {
	const msPerSecond = 1000
	job.DeadlineMs, job.MaxQueueMs = uint32(route.DeadlineMS), uint32(route.MaxQueueS*msPerSecond)
	job.GiveUpMs = uint32(max(route.TimeoutMS, route.DeadlineMS))
	job.MaxAttempts, job.SingleVersion, job.Priority = uint32(max(route.MaxAttempts, 1)), route.OnPolicy, uint32(max(route.Priority, 0))
}

// reportPolicy reports to the directory whether the texts of a model must come from one version of the weights, unless the directory knows it
// or a call is under way. A known policy changes only from false to true. The call runs in the background.
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

// callPolicy makes the call of reportPolicy. The directory's answer comes through the feed.
func (p *Proxy) callPolicy(model string, singleVersion bool) {
	ctx, cancel := context.WithTimeout(context.Background(), policyCallTimeout)
	defer cancel()
	control := rpc.NewControlProtobufClient("http://"+agent.Address(p.settings), p.client)
	// An error is no loss: the next submission calls again as long as the feed has not confirmed the policy.
	_, _ = control.NotePolicy(ctx, &rpc.ModelPolicy{Model: model, SingleVersion: singleVersion})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.policyCalls, model)
}
