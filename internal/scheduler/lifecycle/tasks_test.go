package lifecycle

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTasks_WaitForAll(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var tasks Tasks
	release, ended := make(chan struct{}), false
	tasks.Go(func() {
		<-release
		ended = true
	})
	close(release)
	is.True(tasks.Wait(ctx))
	is.True(ended)
}

func TestTasks_WaitIsBounded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks Tasks
	release := make(chan struct{})
	defer close(release)
	tasks.Go(func() { <-release })
	cancel()
	is.True(!tasks.Wait(ctx))
}

func TestTasks_ServeLogsFailures(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want string
	}{
		"closed": {nil, ""},
		"failed": {errors.New("address lost"), `level=ERROR msg="server failed" server=peer error="address lost"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var text bytes.Buffer
			var tasks Tasks
			tasks.Serve(slog.New(slog.NewTextHandler(&text, nil)), "peer", func() error { return test.err })
			is.True(tasks.Wait(context.Background()))
			is.True(strings.HasSuffix(strings.TrimSpace(text.String()), test.want))
			is.Equal(text.Len() == 0, test.want == "")
		})
	}
}

func TestSleep_EndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	is.True(Sleep(ctx, time.Millisecond))
	cancel()
	is.True(!Sleep(ctx, time.Hour))
}
