//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// streamed is what a client got of a stream.
type streamed struct {
	ids  []int  // of complete events, in their order
	rest string // after the last complete event
	err  error  // io.EOF: the answer ended as complete
}

// openStream sends a request for a stream and calls onEvent for each complete event.
func openStream(edge *machine, header map[string]string, onEvent func(id int)) (*streamed, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend()+"/texto/1", strings.NewReader("prompt"))
	if err != nil {
		return nil, err
	}
	request.Host = "app.example"
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	got := &streamed{}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		got.rest += line
		if err != nil {
			got.err = err
			return got, nil
		}
		if line != "\n" {
			continue
		}
		id := 0
		if _, err := fmt.Sscanf(got.rest, "id: %d\n", &id); err != nil {
			return nil, err
		}
		got.ids, got.rest = append(got.ids, id), ""
		onEvent(id)
	}
}

// startStreaming starts a deployment with the given route of streams, and has each edge machine serve one
// stream that is shorter than its time-out.
func (p *play) startStreaming(texts map[string]any, options ...string) error {
	if err := p.addMachines(); err != nil {
		return err
	}
	if err := p.startAll(); err != nil {
		return err
	}
	if err := p.startWorkers(append([]string{"-pace", "100ms"}, options...)...); err != nil {
		return err
	}
	if err := p.replaceConfiguration(0, 1, configuration(1, texts), p.controls()); err != nil {
		return err
	}
	for _, m := range p.machines {
		if m.class != "edge" {
			continue
		}
		err := p.await("client: a first stream through "+m.name+" is complete", 40*time.Second, func() error {
			got, err := openStream(m, streamHeader(newID()), func(int) {})
			if err == nil && (!errors.Is(got.err, io.EOF) || len(got.ids) != streamEvents) {
				err = fmt.Errorf("events %v, end %w", got.ids, got.err)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

const (
	// streamEvents is the number of events of a stream, 0.1 s each.
	streamEvents = 15
	// longUsage asks for a stream of longEvents.
	longUsage  = "20,800"
	longEvents = 45
)

func streamHeader(id string) map[string]string {
	return map[string]string{"Request-Id": id, "Deadline-Ms": "15000", "Model": "m0", "Token-Usage": "20,200"}
}

// crashAt kills the worker that prints the given line first. It returns the worker, or nil after the
// limit.
func (p *play) crashAt(line string, limit time.Duration) *workerProcess {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(time.Millisecond) {
		for _, w := range p.workers {
			for reading := true; reading; {
				select {
				case got := <-w.lines:
					if got == line {
						w.kill()
						p.note("worker %s is killed in the middle of an event (%s)", w.id, line)
						return w
					}
				default:
					reading = false
				}
			}
		}
	}
	return nil
}

// halfEvent kills a worker in the middle of an event. Its streams have no length and end with their
// connection.
func halfEvent(p *play) ([]string, error) {
	if err := p.startStreaming(textRoute(), "-without-length"); err != nil {
		return nil, err
	}
	id := newID()
	if p.trouble {
		go p.crashAt(fmt.Sprintf("half %s %d", id, 5), 10*time.Second)
	}
	p.note("client: sends %s", id)
	got, err := openStream(p.machine("edge-"+zones[0]+"-1"), streamHeader(id), func(int) {})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	p.note("client: got events %v, then %q, then the end: %v", got.ids, got.rest, got.err)
	if errors.Is(got.err, io.EOF) && (len(got.ids) < streamEvents || got.rest != "") {
		return []string{fmt.Sprintf("ORDER: the stream is ended as complete after event %d of %d and %q", len(got.ids), streamEvents, got.rest)}, nil
	}
	return checkOrder(got.ids, 0), nil
}

// checkOrder checks that events rise by one from the one after the given one.
func checkOrder(ids []int, after int) (broken []string) {
	for i, id := range ids {
		if id != after+1+i {
			return []string{fmt.Sprintf("ORDER: after event %d of the stream comes event %d (events %v)", after+i, id, ids)}
		}
	}
	return nil
}

// textRoute returns the route of the streams.
func textRoute() map[string]any {
	return route("r-texto", "app.example", "/texto/", "streaming", "escriba-pool")
}

// takenTwice lets a stream last longer than the time for which its route allows it to be held. The client
// takes it up with Last-Event-Id, and its next worker crashes.
func takenTwice(p *play) ([]string, error) {
	texts := textRoute()
	texts["timeoutMs"] = 3000
	if err := p.startStreaming(texts); err != nil {
		return nil, err
	}
	edge, other := p.machine("edge-"+zones[0]+"-1"), p.machine("edge-"+zones[1]+"-1")
	header := streamHeader(newID())
	header["Token-Usage"] = longUsage
	p.note("client: sends %s to %s", header["Request-Id"], edge.name)
	got, err := openStream(edge, header, func(int) {})
	if err != nil || errors.Is(got.err, io.EOF) || len(got.ids) == 0 {
		return nil, fmt.Errorf("%w: first part: %v, %w", errNotRun, got, err)
	}
	if broken := checkOrder(got.ids, 0); len(broken) > 0 {
		return broken, nil
	}
	last := got.ids[len(got.ids)-1]
	p.note("client: got events 1 to %d, then the end at the time-out of the route: %v", last, got.err)
	header["Request-Id"], header["Last-Event-Id"] = newID(), fmt.Sprint(last)
	if p.trouble {
		go p.crashAt(fmt.Sprintf("half %s %d", header["Request-Id"], last+4), 10*time.Second)
	}
	p.note("client: sends %s to %s with Last-Event-Id %d", header["Request-Id"], other.name, last)
	if got, err = openStream(other, header, func(int) {}); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	p.note("client: got events %v, then %q, then the end: %v", got.ids, got.rest, got.err)
	return checkOrder(got.ids, last), nil
}

// manyWorkers has workers break off one in a hundred streams of a route that allows one worker for each
// request.
func manyWorkers(p *play) ([]string, error) {
	texts := textRoute()
	texts["maxAttempts"] = 1
	share := "0"
	if p.trouble {
		share = "0.01"
	}
	if err := p.startStreaming(texts, "-pace", "20ms", "-break-off", share); err != nil {
		return nil, err
	}
	var calls sync.WaitGroup
	for range 30 {
		calls.Go(func() {
			for range 30 {
				_, _ = openStream(p.machine("edge-"+zones[0]+"-1"), streamHeader(newID()), func(int) {}) // cuts are allowed here
			}
		})
	}
	calls.Wait()
	p.mu.Lock()
	over := 0
	for _, runs := range p.runs {
		if runs > 1 {
			over++
		}
	}
	p.mu.Unlock()
	p.note("%d of %d requests reached more than one worker", over, len(p.runs))
	if over > 3 {
		return []string{fmt.Sprintf("BUDGET: %d requests ran on more workers than maxAttempts, which is 1; no worker ended", over)}, nil
	}
	return nil, nil
}
