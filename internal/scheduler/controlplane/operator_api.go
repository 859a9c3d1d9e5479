package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"strconv"
	"unicode/utf8"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
)

// decide has the directory commit a command and returns its result. If that fails, decide sends the
// error response itself and returns nil.
func (s *Server) decide(ctx context.Context, request *fasthttp.RequestCtx, command *rpc.DirectoryCommand) *rpc.DirectoryResult {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	encoded, err := replica.Marshal(command)
	if err != nil {
		fail(request, fasthttp.StatusBadRequest, err.Error())
		return nil
	}
	proposed := s.submit(ctx, directory.Shard, encoded)
	if proposed.Outcome != rpc.Outcome_DONE {
		fail(request, fasthttp.StatusServiceUnavailable, "directory command was not committed in time: no majority of the stewards replied")
		return nil
	}
	result := &rpc.DirectoryResult{}
	if err := proto.Unmarshal(proposed.Result, result); err != nil {
		fail(request, fasthttp.StatusInternalServerError, err.Error())
		return nil
	}
	return result
}

// replaceConfiguration handles the operator's request to replace the complete configuration.
func (s *Server) replaceConfiguration(ctx context.Context, request *fasthttp.RequestCtx) {
	change, ok := readChange(request)
	if !ok {
		return
	}
	if _, err := configuration.Parse(change.body); err != nil {
		fail(request, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.changeConfiguration(ctx, request, directory.ReplaceCommand(change.base, change.version, false, change.body))
}

// patchConfiguration handles the operator's request to change named items. Only the directory can
// validate it, because it has the other items.
func (s *Server) patchConfiguration(ctx context.Context, request *fasthttp.RequestCtx) {
	change, ok := readChange(request)
	if !ok {
		return
	}
	s.changeConfiguration(ctx, request, directory.ReplaceCommand(change.base, change.version, true, change.body))
}

// configurationChange is a request to change the configuration.
type configurationChange struct {
	base    uint64 // the version that it is based on
	version uint64 // the version that it creates
	body    []byte
}

// readChange parses a request. If the request is malformed, readChange sends the error response.
func readChange(request *fasthttp.RequestCtx) (change configurationChange, ok bool) {
	base, err := strconv.ParseUint(string(request.Request.Header.Peek("Base-Version")), 10, 64)
	if err != nil {
		fail(request, fasthttp.StatusBadRequest, "Base-Version: must be an unsigned integer")
		return change, false
	}
	body := bytes.Clone(request.PostBody())
	if !utf8.Valid(body) {
		fail(request, fasthttp.StatusBadRequest, "configuration: body is not valid UTF-8")
		return change, false
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		fail(request, fasthttp.StatusBadRequest, "configuration: "+err.Error())
		return change, false
	}
	return configurationChange{base, head.Version, body}, true
}

func (s *Server) changeConfiguration(ctx context.Context, request *fasthttp.RequestCtx, command *rpc.DirectoryCommand) {
	result := s.decide(ctx, request, command)
	if result == nil {
		return
	}
	if status := HTTPStatus(result.Status); status == fasthttp.StatusOK {
		reply(request, status, emptyBody{})
	} else {
		fail(request, status, result.Message)
	}
}

// HTTPStatus returns the HTTP status for a decision of the directory. A change that may have been
// accepted long ago yields 503: a rejection could be wrong.
func HTTPStatus(status rpc.DirectoryStatus) int {
	switch status {
	case rpc.DirectoryStatus_DIRECTORY_OK:
		return fasthttp.StatusOK
	case rpc.DirectoryStatus_DIRECTORY_CONFLICT:
		return fasthttp.StatusPreconditionFailed
	case rpc.DirectoryStatus_DIRECTORY_UNCERTAIN:
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadRequest
}

// readConfiguration returns the latest configuration as the operator sent it. The read is a command
// in the directory's log, so that no stale configuration is returned.
func (s *Server) readConfiguration(ctx context.Context, request *fasthttp.RequestCtx) {
	result := s.decide(ctx, request, &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Read{Read: &rpc.Read{}}})
	if result == nil {
		return
	}
	if len(result.Configuration) == 0 {
		fail(request, fasthttp.StatusNotFound, "no configuration has been accepted yet")
		return
	}
	text, err := compression.Documents.Decompress(result.Configuration)
	if err != nil {
		fail(request, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	request.SetContentType("application/json")
	request.SetBody(text)
}

// nameVersion handles a trainer's request to roll out a weight version. A version that is not above
// the model's latest one has no effect.
func (s *Server) nameVersion(ctx context.Context, request *fasthttp.RequestCtx) {
	var named struct {
		Model   string `json:"model"`
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(request.PostBody(), &named); err != nil || named.Model == "" || named.Version == 0 {
		fail(request, fasthttp.StatusBadRequest, "model must not be empty and version must be above 0")
		return
	}
	version := &rpc.NameVersion{Model: named.Model, Version: named.Version}
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_NameVersion{NameVersion: version}}
	if s.decide(ctx, request, command) != nil {
		reply(request, fasthttp.StatusOK, emptyBody{})
	}
}
