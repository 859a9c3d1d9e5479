package proxy

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/agent"
	"saffronquay/internal/scheduler/batchclient"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/rpc"
	"strconv"
	"time"

	"github.com/mailru/easyjson"
	"github.com/valyala/fasthttp"
)

const (
	submitTimeout    = 2500 * time.Millisecond
	readTimeoutMS    = 1500 // beyond what the client lets a read be held
	maxReadWaitMS    = 2000
	nearReadMarginMS = 300 // beyond the hold, that a replica of the own zone may take
	policyTimeout    = 2 * time.Second
)

// submit takes a batch job.
func (p *Proxy) submitJob(ctx *fasthttp.RequestCtx, route *configuration.Route, host string) {
	id := string(ctx.Request.Header.Peek("Request-Id"))
	if id == "" || !ctx.IsPost() {
		answer(ctx, fasthttp.StatusBadRequest, "a batch job is a POST with a Request-Id")
		return
	}
	job, err := batchjobs.ParseSubmission(ctx.PostBody())
	if err != nil {
		answer(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	job.Id, job.Host, job.Path, job.SentUnixMs = id, host, string(ctx.Path()), time.Now().UnixMilli()
	job.DeadlineMs, job.MaxQueueMs = uint32(route.DeadlineMS), uint32(route.MaxQueueS*1000)
	job.GiveUpMs = uint32(max(route.TimeoutMS, route.DeadlineMS))
	job.MaxAttempts, job.SingleVersion, job.Priority = uint32(max(route.MaxAttempts, 1)), route.OnPolicy, uint32(max(route.Priority, 0))
	p.reportPolicy(job.Model, route.OnPolicy)
	shard := p.jobOwners.ShardOfHost(host)
	if shard == "" {
		rejectRetryable(ctx, "batch jobs can't be kept yet")
		return
	}
	within, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	err = p.jobOwners.Call(within, shard, 0, func(ctx context.Context, l rpc.Ledger) (rpc.Outcome, string, error) {
		response, err := l.Submit(ctx, &rpc.SubmitRequest{Shard: shard, Job: job})
		if err != nil {
			return rpc.Outcome_OUTCOME_UNKNOWN, "", err
		}
		return response.Outcome, response.LeaderAddress, nil
	})
	switch {
	case err == nil:
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case errors.Is(err, batchclient.ErrUnavailable):
		rejectRetryable(ctx, "batch jobs can't be kept now")
	default:
		answer(ctx, fasthttp.StatusGatewayTimeout, "the batch job may have been taken")
	}
}

// notePolicy tells the directory, once for each model, whether its texts must be made by one version of the weights.
func (p *Proxy) reportPolicy(model string, single bool) {
	p.mu.Lock()
	known, ok := p.policies[model]
	if model == "" || ok && (known || !single) || p.policyCalls[model] {
		p.mu.Unlock()
		return
	}
	p.policyCalls[model] = true
	p.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), policyTimeout)
		defer cancel()
		rpc.NewControlProtobufClient("http://"+agent.Address(p.settings), p.client).NotePolicy(ctx, &rpc.ModelPolicy{Model: model, SingleVersion: single})
		p.mu.Lock()
		delete(p.policyCalls, model)
		p.mu.Unlock()
	}()
}

// job reads or ends a batch job.
func (p *Proxy) handleJob(ctx *fasthttp.RequestCtx, host, id string) {
	shard := p.jobOwners.ShardOfHost(host)
	switch {
	case shard == "":
		rejectRetryable(ctx, "batch jobs can't be read yet")
	case ctx.IsGet():
		p.readJob(ctx, shard, id)
	case ctx.IsDelete():
		p.cancelJob(ctx, shard, id)
	default:
		answer(ctx, fasthttp.StatusMethodNotAllowed, "want GET or DELETE")
	}
}

func (p *Proxy) readJob(ctx *fasthttp.RequestCtx, shard, id string) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	hold, err := strconv.Atoi(string(ctx.Request.Header.Peek("Wait-Ms")))
	if err != nil || hold < 0 {
		hold = 0
	}
	hold = min(hold, maxReadWaitMS)
	begun := time.Now()
	page := p.readFromNearReplica(shard, id, after, hold)
	if page != nil {
		writePage(ctx, page, after)
		return
	}
	hold = max(0, hold-int(time.Since(begun).Milliseconds()))
	within, cancel := context.WithTimeout(context.Background(), time.Duration(hold+readTimeoutMS)*time.Millisecond)
	defer cancel()
	err = p.jobOwners.Call(within, shard, time.Duration(hold)*time.Millisecond, func(ctx context.Context, l rpc.Ledger) (rpc.Outcome, string, error) {
		response, err := l.Read(ctx, &rpc.ReadRequest{Shard: shard, Job: id, After: uint32(after), WaitMs: uint32(hold)})
		if err != nil {
			return rpc.Outcome_OUTCOME_UNKNOWN, "", err
		}
		page = response
		return response.Outcome, response.LeaderAddress, nil
	})
	switch {
	case err != nil:
		rejectRetryable(ctx, "the batch job can't be read now")
	case !page.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such batch job")
	default:
		writePage(ctx, page, after)
	}
}

// readNear reads from a replica of this zone, which spares the bytes between zones; nil where there is none that can answer.
func (p *Proxy) readFromNearReplica(shard, id string, after, hold int) *rpc.ReadResponse {
	address := p.jobOwners.NearbyReplica(shard)
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(hold+nearReadMarginMS)*time.Millisecond)
	defer cancel()
	page, err := rpc.NewLedgerProtobufClient("http://"+address, p.client).Read(ctx, &rpc.ReadRequest{Shard: shard, Job: id, After: uint32(after), WaitMs: uint32(hold), Near: true})
	if err != nil || page.Outcome != rpc.Outcome_DONE || !page.Found {
		return nil
	}
	return page
}

func writePage(ctx *fasthttp.RequestCtx, page *rpc.ReadResponse, after int) {
	results, err := batchjobs.NewPage(page, after)
	var text []byte
	if err == nil {
		text, err = easyjson.Marshal(results)
	}
	if err != nil {
		answer(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func (p *Proxy) cancelJob(ctx *fasthttp.RequestCtx, shard, id string) {
	found := false
	within, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	err := p.jobOwners.Call(within, shard, 0, func(ctx context.Context, l rpc.Ledger) (rpc.Outcome, string, error) {
		response, err := l.End(ctx, &rpc.EndRequest{Shard: shard, Job: id})
		if err != nil {
			return rpc.Outcome_OUTCOME_UNKNOWN, "", err
		}
		found = response.Found
		return response.Outcome, response.LeaderAddress, nil
	})
	switch {
	case err != nil:
		answer(ctx, fasthttp.StatusGatewayTimeout, "the end of the batch job is not certain")
	case !found:
		answer(ctx, fasthttp.StatusNotFound, "no such batch job")
	}
}

// itemBody returns the body of an item.
func (p *Proxy) readItemBody(ctx *fasthttp.RequestCtx, host, id string) {
	shard := p.jobOwners.ShardOfHost(host)
	if shard == "" || !ctx.IsGet() {
		rejectRetryable(ctx, "items can't be read yet")
		return
	}
	item := string(ctx.QueryArgs().Peek("id"))
	var body *rpc.BodyResponse
	within, cancel := context.WithTimeout(context.Background(), readTimeoutMS*time.Millisecond)
	defer cancel()
	err := p.jobOwners.Call(within, shard, 0, func(ctx context.Context, l rpc.Ledger) (rpc.Outcome, string, error) {
		response, err := l.Body(ctx, &rpc.BodyRequest{Shard: shard, Job: id, Item: item})
		if err != nil {
			return rpc.Outcome_OUTCOME_UNKNOWN, "", err
		}
		body = response
		return response.Outcome, response.LeaderAddress, nil
	})
	switch {
	case err != nil:
		rejectRetryable(ctx, "the item can't be read now")
	case !body.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such item")
	default:
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(body.Body)
	}
}
