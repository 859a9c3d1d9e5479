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
	jobReadTimeout = 1500 * time.Millisecond // of a read, beyond the time that the client lets it wait
	maxReadWait    = 2 * time.Second         // that a client may let a read wait for new results
	// nearbyReadMargin is the time of a read from a replica of this zone, beyond the client's wait.
	nearbyReadMargin = 300 * time.Millisecond
)

// ownerResponse is a response of a shard's owner, or of a replica that isn't the owner.
type ownerResponse interface {
	GetOutcome() rpc.Outcome
	GetLeaderAddress() string
}

// callOwner calls the owner of a shard until it has answered, or timeout and ownerWait have passed. ownerWait is how long the owner may let the
// call wait. The errors are those of batchclient.Client.Call; the call may be repeated.
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
		reject(ctx, "batch jobs can't be read yet")
	case ctx.IsGet():
		p.readJob(ctx, shard, id)
	case ctx.IsDelete():
		p.cancelJob(ctx, shard, id)
	default:
		answer(ctx, fasthttp.StatusMethodNotAllowed, "want GET or DELETE")
	}
}

// readJob answers with the results of a job after the position that the query names. Where there is none yet, the read waits as long as the
// header Wait-Ms says, maxReadWait at most.
func (p *Proxy) readJob(ctx *fasthttp.RequestCtx, shard, id string) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	begun := time.Now()
	wait := readWait(ctx)
	page := p.readFromNearbyReplica(shard, id, after, wait)
	if page != nil {
		writePage(ctx, page, after)
		return
	}
	wait = max(0, wait-time.Since(begun).Truncate(time.Millisecond))
	page, err := callOwner(p, shard, jobReadTimeout, wait, func(ctx context.Context, owner rpc.Ledger) (*rpc.ReadResponse, error) {
		return owner.Read(ctx, &rpc.ReadRequest{Shard: shard, Job: id, After: uint32(after), WaitMs: uint32(wait.Milliseconds())})
	})
	switch {
	case err != nil:
		reject(ctx, "the batch job can't be read now")
	case !page.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such batch job")
	default:
		writePage(ctx, page, after)
	}
}

// readWait returns how long a client lets a read wait for new results, rounded down to milliseconds.
func readWait(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek("Wait-Ms")))
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, int(maxReadWait.Milliseconds()))) * time.Millisecond
}

// readFromNearbyReplica reads from a replica of this zone, so that the results don't cross zones; nil where there is none, or where it doesn't
// answer, has not caught up or doesn't know the job. The caller reads from the owner then.
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

// cancelJob ends a batch job before its items are complete. Without a clear answer it answers 504, and 503 where no call had an effect. The
// trainer may repeat the cancellation in any case.
func (p *Proxy) cancelJob(ctx *fasthttp.RequestCtx, shard, id string) {
	response, err := callOwner(p, shard, submitTimeout, 0, func(ctx context.Context, owner rpc.Ledger) (*rpc.EndResponse, error) {
		return owner.End(ctx, &rpc.EndRequest{Shard: shard, Job: id})
	})
	switch {
	case errors.Is(err, batchclient.ErrUnavailable):
		reject(ctx, "the batch job can't be ended now")
	case err != nil:
		answer(ctx, fasthttp.StatusGatewayTimeout, "the end of the batch job is not certain")
	case !response.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such batch job")
	}
}

// readItemBody answers with the body of an item, which the query names.
func (p *Proxy) readItemBody(ctx *fasthttp.RequestCtx, host, id string) {
	if !ctx.IsGet() {
		answer(ctx, fasthttp.StatusMethodNotAllowed, "want GET")
		return
	}
	shard := p.jobOwners.ShardOfHost(host)
	if shard == "" {
		reject(ctx, "items can't be read yet")
		return
	}
	item := string(ctx.QueryArgs().Peek("id"))
	body, err := callOwner(p, shard, jobReadTimeout, 0, func(ctx context.Context, owner rpc.Ledger) (*rpc.BodyResponse, error) {
		return owner.Body(ctx, &rpc.BodyRequest{Shard: shard, Job: id, Item: item})
	})
	switch {
	case err != nil:
		reject(ctx, "the item can't be read now")
	case !body.Found:
		answer(ctx, fasthttp.StatusNotFound, "no such item")
	default:
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(body.Body)
	}
}
