package proxy

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/batchclient"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/rpc"
	"strconv"
	"time"

	"github.com/mailru/easyjson"
	"github.com/valyala/fasthttp"
)

const (
	jobReadTimeout = 1500 * time.Millisecond // of a read from the owner, in addition to the client's Wait-Ms
	maxReadWait    = 2 * time.Second         // upper bound of Wait-Ms, the time a read waits for new results
	// nearbyReadMargin is the timeout of a read from a replica in this zone, in addition to the
	// client's Wait-Ms.
	nearbyReadMargin = 300 * time.Millisecond
)

// ownerResponse is a response from a shard's owner, or from a replica that isn't the owner.
type ownerResponse interface {
	GetOutcome() rpc.Outcome
	GetLeaderAddress() string
}

// callOwner calls the owner of a shard, with retries, until it has answered or timeout plus
// ownerWait has passed. ownerWait is how long the owner may wait before it answers. The call must
// be idempotent, since it may be repeated. The errors are those of batchclient.Client.Call.
func callOwner[R ownerResponse](p *Proxy, shard string, timeout, ownerWait time.Duration, call func(context.Context, rpc.Ledger) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+ownerWait)
	defer cancel()
	var last R
	err := p.jobOwners.Call(ctx, shard, ownerWait, func(ctx context.Context, owner rpc.Ledger) (rpc.Outcome, string, error) {
		response, err := call(ctx, owner)
		if err != nil {
			return rpc.Outcome_OUTCOME_UNKNOWN, "", err
		}
		last = response
		return response.GetOutcome(), response.GetLeaderAddress(), nil
	})
	return last, err
}

// handleJob reads or cancels a batch job.
func (p *Proxy) handleJob(ctx *fasthttp.RequestCtx, host, id string) {
	shard := p.jobOwners.ShardOfHost(host)
	switch {
	case shard == "":
		reject(ctx, "batch job not available: shard placement not known yet")
	case ctx.IsGet():
		p.readJob(ctx, shard, id)
	case ctx.IsDelete():
		p.cancelJob(ctx, shard, id)
	default:
		answer(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed: want GET or DELETE")
	}
}

// readJob answers with the results of a job after the position in the query parameter "after". If
// there are none yet, it waits for up to the duration in the header Wait-Ms, but at most
// maxReadWait.
func (p *Proxy) readJob(ctx *fasthttp.RequestCtx, shard, id string) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	start := time.Now()
	wait := readWait(ctx)
	page := p.readFromNearbyReplica(shard, id, after, wait)
	if page != nil {
		writePage(ctx, page, after)
		return
	}
	wait = max(0, wait-time.Since(start).Truncate(time.Millisecond))
	page, err := callOwner(p, shard, jobReadTimeout, wait, func(ctx context.Context, owner rpc.Ledger) (*rpc.ReadResponse, error) {
		return owner.Read(ctx, &rpc.ReadRequest{Shard: shard, Job: id, After: uint32(after), WaitMs: uint32(wait.Milliseconds())})
	})
	switch {
	case err != nil:
		reject(ctx, "batch job not read: no answer from the shard owner")
	case !page.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such batch job")
	default:
		writePage(ctx, page, after)
	}
}

// readWait returns how long a read may wait for new results, from the header Wait-Ms, up to
// maxReadWait.
func readWait(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek("Wait-Ms")))
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, int(maxReadWait.Milliseconds()))) * time.Millisecond
}

// readFromNearbyReplica reads from a replica in this zone, to avoid traffic between zones. It
// returns nil if there is no such replica, or if it doesn't answer, has not caught up or doesn't
// know the job; the caller must then read from the owner.
func (p *Proxy) readFromNearbyReplica(shard, id string, after int, wait time.Duration) *rpc.ReadResponse {
	address := p.jobOwners.NearbyReplica(shard)
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+nearbyReadMargin)
	defer cancel()
	replica := rpc.NewLedgerProtobufClient("http://"+address, p.client)
	request := &rpc.ReadRequest{Shard: shard, Job: id, After: uint32(after), WaitMs: uint32(wait.Milliseconds()), Near: true}
	page, err := replica.Read(ctx, request)
	if err != nil || page.Outcome != rpc.Outcome_DONE || !page.Found {
		return nil
	}
	return page
}

// writePage answers with a page of results as JSON.
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

// cancelJob cancels a batch job. It answers 503 if the cancellation has had no effect, and 504 if
// its outcome is unknown. The trainer may repeat the cancellation in any case.
func (p *Proxy) cancelJob(ctx *fasthttp.RequestCtx, shard, id string) {
	response, err := callOwner(p, shard, submitTimeout, 0, func(ctx context.Context, owner rpc.Ledger) (*rpc.EndResponse, error) {
		return owner.End(ctx, &rpc.EndRequest{Shard: shard, Job: id})
	})
	switch {
	case errors.Is(err, batchclient.ErrUnavailable):
		reject(ctx, "batch job not cancelled: shard owner unavailable")
	case err != nil:
		answer(ctx, fasthttp.StatusGatewayTimeout, "cancellation not confirmed by the shard owner; the batch job may have been cancelled")
	case !response.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such batch job")
	}
}

// readItemBody answers with the body of the item in the query parameter "id".
func (p *Proxy) readItemBody(ctx *fasthttp.RequestCtx, host, id string) {
	if !ctx.IsGet() {
		answer(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed: want GET")
		return
	}
	shard := p.jobOwners.ShardOfHost(host)
	if shard == "" {
		reject(ctx, "item not read: shard placement not known yet")
		return
	}
	item := string(ctx.QueryArgs().Peek("id"))
	body, err := callOwner(p, shard, jobReadTimeout, 0, func(ctx context.Context, owner rpc.Ledger) (*rpc.BodyResponse, error) {
		return owner.Body(ctx, &rpc.BodyRequest{Shard: shard, Job: id, Item: item})
	})
	switch {
	case err != nil:
		reject(ctx, "item not read: no answer from the shard owner")
	case !body.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such item")
	default:
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(body.Body)
	}
}
