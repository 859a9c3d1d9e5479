package controlplane

import (
	"context"
	"encoding/json"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
)

const (
	maxBody       = 64 << 20
	submitTimeout = 1500 * time.Millisecond
)

// routes are the calls of the operator, the trainers and the workers.
func (st *Server) routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/api/Config.Replace", func(ctx *fasthttp.RequestCtx) { st.replace(ctx, false) })
	r.POST("/api/Config.Patch", func(ctx *fasthttp.RequestCtx) { st.replace(ctx, true) })
	r.GET("/api/Config.Get", st.get)
	r.POST("/api/version-put", st.nameVersion)
	r.POST("/api/Retire.Start/{node}", st.startRetire)
	r.GET("/api/Retire.Get/{node}", st.getRetire)
	r.POST("/api/Instances.Heartbeat/{id}", func(ctx *fasthttp.RequestCtx) { st.instance(ctx, false) })
	r.POST("/api/Instances.Deregister/{id}", func(ctx *fasthttp.RequestCtx) { st.instance(ctx, true) })
	r.HandleMethodNotAllowed = true
	return r.Handler
}

// answer is the body of every answer that has nothing else to say.
type answer struct {
	Error string `json:"error,omitempty"`
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = fasthttp.StatusInternalServerError, []byte("{}")
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func fail(ctx *fasthttp.RequestCtx, status int, message string) { reply(ctx, status, answer{message}) }

// decide has the directory decide on a command, and answers where it can't.
func (st *Server) decide(ctx *fasthttp.RequestCtx, command *rpc.DirectoryCommand) *rpc.DirectoryResult {
	within, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	proposed := st.submit(within, directory.Shard, replica.Marshal(command))
	if proposed.Outcome != rpc.Outcome_DONE {
		fail(ctx, fasthttp.StatusServiceUnavailable, "no majority of the stewards answers")
		return nil
	}
	result := &rpc.DirectoryResult{}
	if err := proto.Unmarshal(proposed.Result, result); err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err.Error())
		return nil
	}
	return result
}

// replace takes a whole configuration, or a change of named items.
func (st *Server) replace(ctx *fasthttp.RequestCtx, patch bool) {
	body := append([]byte(nil), ctx.PostBody()...)
	base, err := strconv.ParseUint(string(ctx.Request.Header.Peek("Base-Version")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "Base-Version: want a whole number")
		return
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "configuration: "+err.Error())
		return
	}
	if !patch {
		if _, err := configuration.Parse(body); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
	}
	result := st.decide(ctx, directory.ReplaceCommand(base, head.Version, patch, body))
	if result == nil {
		return
	}
	if status := HTTPStatus(result.Status); status == fasthttp.StatusOK {
		reply(ctx, status, answer{})
	} else {
		fail(ctx, status, result.Message)
	}
}

// HTTPStatus is how the operator is told what the directory has decided. An order that may have been taken is never refused.
func HTTPStatus(decided rpc.DirectoryStatus) int {
	switch decided {
	case rpc.DirectoryStatus_DIRECTORY_OK:
		return fasthttp.StatusOK
	case rpc.DirectoryStatus_DIRECTORY_CONFLICT:
		return fasthttp.StatusPreconditionFailed
	case rpc.DirectoryStatus_DIRECTORY_UNCERTAIN:
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadRequest
}

// get returns the newest configuration as the operator sent it.
func (st *Server) get(ctx *fasthttp.RequestCtx) {
	result := st.decide(ctx, &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}})
	if result == nil {
		return
	}
	if len(result.Configuration) == 0 {
		fail(ctx, fasthttp.StatusNotFound, "no configuration has been taken yet")
		return
	}
	text, err := compression.Documents.Unpack(result.Configuration)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

// nameVersion notes a version of weights.
func (st *Server) nameVersion(ctx *fasthttp.RequestCtx) {
	var named struct {
		Model   string `json:"model"`
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &named); err != nil || named.Model == "" || named.Version == 0 {
		fail(ctx, fasthttp.StatusBadRequest, "want a model and a version above 0")
		return
	}
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: &rpc.NameVersion{Model: named.Model, Version: named.Version}}}
	if st.decide(ctx, command) != nil {
		reply(ctx, fasthttp.StatusOK, answer{})
	}
}
