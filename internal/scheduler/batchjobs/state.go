package batchjobs

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Ledger is the state of one shard. Apply, Snapshot and Restore are for the replica's goroutine; the rest may be called by any.
type State struct {
	mu      sync.Mutex
	jobs    map[string]*job
	changed func(Change) // told under no lock, in the order of the log
	clock   func() int64 // milliseconds; it never steps
}

// job is one batch job.
type job struct {
	create  *rpc.CreateJob
	results []*rpc.Result
	settled map[string]bool
	ended   bool
	seenAt  int64         // when this process heard of it first: it is at least as old as that tells, whatever the time of day says
	wake    chan struct{} // closed when a result is added or the job ends
	body    map[string]*rpc.Item
}

// Change is what an entry of the log has changed.
type Change struct {
	CreatedJob     *rpc.CreateJob
	CommittedJob   string // job
	CommittedItems []string
	EndedJob       string
	Restored       bool
}

// New returns an empty ledger. changed is told of every change, on the replica's goroutine; clock gives milliseconds and never steps.
func NewState(changed func(Change), clock func() int64) *State {
	return &State{jobs: map[string]*job{}, changed: changed, clock: clock}
}

func newJob(create *rpc.CreateJob, seenAt int64) *job {
	j := &job{create: create, seenAt: seenAt, settled: map[string]bool{}, wake: make(chan struct{}), body: make(map[string]*rpc.Item, len(create.Items))}
	for _, item := range create.Items {
		j.body[item.Id] = item
	}
	return j
}

// end drops what nobody may ask for any more: bodies, headers and reward calls. Whoever still holds the old items keeps them.
func (j *job) end() {
	j.ended = true
	bare := &rpc.CreateJob{
		Id: j.create.Id, Host: j.create.Host, Model: j.create.Model, SentUnixMs: j.create.SentUnixMs, DeadlineMs: j.create.DeadlineMs,
		MaxQueueMs: j.create.MaxQueueMs, Items: make([]*rpc.Item, 0, len(j.create.Items)),
	}
	for _, item := range j.create.Items {
		bare.Items = append(bare.Items, &rpc.Item{Id: item.Id})
	}
	j.create, j.body = bare, nil
}

func (j *job) signal() {
	close(j.wake)
	j.wake = make(chan struct{})
}

// Apply implements replica.StateMachine.
func (l *State) Apply(_ uint64, command []byte) []byte {
	c := &rpc.LedgerCommand{}
	result := &rpc.LedgerResult{Unknown: true}
	var change Change
	if proto.Unmarshal(command, c) == nil {
		l.mu.Lock()
		result, change = l.apply(c)
		l.mu.Unlock()
	}
	if l.changed != nil {
		l.changed(change)
	}
	encoded, _ := proto.Marshal(result)
	return encoded
}

func (l *State) apply(c *rpc.LedgerCommand) (*rpc.LedgerResult, Change) {
	done := &rpc.LedgerResult{}
	switch x := c.Command.(type) {
	case *rpc.LedgerCommand_Create:
		if l.jobs[x.Create.Id] != nil {
			return done, Change{}
		}
		l.jobs[x.Create.Id] = newJob(x.Create, l.clock())
		return done, Change{CreatedJob: x.Create}
	case *rpc.LedgerCommand_Append:
		j := l.jobs[x.Append.Job]
		if j == nil {
			return &rpc.LedgerResult{Unknown: true}, Change{}
		}
		return done, Change{CommittedJob: x.Append.Job, CommittedItems: j.append(x.Append.Results)}
	case *rpc.LedgerCommand_End:
		j := l.jobs[x.End.Job]
		if j == nil {
			return &rpc.LedgerResult{Unknown: true}, Change{}
		}
		if !j.ended {
			j.end()
			j.signal()
		}
		return done, Change{EndedJob: x.End.Job}
	case *rpc.LedgerCommand_Forget:
		delete(l.jobs, x.Forget)
		return done, Change{EndedJob: x.Forget}
	}
	return &rpc.LedgerResult{Unknown: true}, Change{}
}

// append lists results. An item that is listed already, or that isn't the job's, is passed over; so is everything once the job has ended.
func (j *job) append(results []*rpc.Result) (items []string) {
	for _, r := range results {
		items = append(items, r.Item)
		if j.ended || j.settled[r.Item] || j.body[r.Item] == nil {
			continue
		}
		j.settled[r.Item] = true
		j.results = append(j.results, r)
	}
	j.signal()
	return items
}

// partsInRecord is the number of items, and of results, in one record of a snapshot.
const partsInRecord = 64

// Snapshot implements replica.StateMachine. Jobs, items and results never change once they are there, so it copies only where they are.
func (l *State) Snapshot() (next func() proto.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []*rpc.StoredJob
	for _, j := range l.jobs {
		records = append(records, storedParts(j)...)
	}
	return func() proto.Message {
		if len(records) == 0 {
			return nil
		}
		record := records[0]
		records = records[1:]
		return record
	}
}

// storedParts are the records of a job.
func storedParts(j *job) (records []*rpc.StoredJob) {
	head := &rpc.CreateJob{
		Id: j.create.Id, Host: j.create.Host, Path: j.create.Path, Model: j.create.Model, MinVersion: j.create.MinVersion,
		Step: j.create.Step, Desired: j.create.Desired, SentUnixMs: j.create.SentUnixMs, DeadlineMs: j.create.DeadlineMs, MaxQueueMs: j.create.MaxQueueMs,
		MaxAttempts: j.create.MaxAttempts, SingleVersion: j.create.SingleVersion, Priority: j.create.Priority, GiveUpMs: j.create.GiveUpMs,
	}
	items, results := j.create.Items, j.results
	for {
		some := items[:min(len(items), partsInRecord)]
		listed := results[:min(len(results), partsInRecord)]
		items, results = items[len(some):], results[len(listed):]
		head.Items = some
		records = append(records, &rpc.StoredJob{Job: head, Results: listed, Ended: j.ended, Continued: len(records) > 0})
		if len(items) == 0 && len(results) == 0 {
			return records
		}
		head = &rpc.CreateJob{Id: j.create.Id}
	}
}

// Restore implements replica.StateMachine.
func (l *State) Restore(_ uint64, state *bufio.Reader) error {
	stored := map[string]*rpc.StoredJob{}
	for {
		record := &rpc.StoredJob{}
		err := replica.ReadRecord(state, record)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if whole := stored[record.Job.GetId()]; record.Continued && whole != nil {
			whole.Job.Items = append(whole.Job.Items, record.Job.Items...)
			whole.Results = append(whole.Results, record.Results...)
			continue
		}
		stored[record.Job.GetId()] = record
	}
	l.mu.Lock()
	for _, j := range l.jobs {
		j.signal()
	}
	jobs := map[string]*job{}
	for id, s := range stored {
		j := newJob(s.Job, l.clock())
		if old := l.jobs[id]; old != nil {
			j.seenAt = old.seenAt
		}
		j.results = s.Results
		if s.Ended {
			j.end()
		}
		for _, r := range s.Results {
			j.settled[r.Item] = true
		}
		jobs[id] = j
	}
	l.jobs = jobs
	l.mu.Unlock()
	if l.changed != nil {
		l.changed(Change{Restored: true})
	}
	return nil
}

// Known tells whether a job was accepted.
func (l *State) HasJob(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id] != nil
}

// pageBytes bounds the texts of one read, so that its answer stays below 1 MB.
const pageBytes = 400 << 10

// Read returns the results from a position on, and a channel that is closed when there is more.
func (l *State) Read(id string, after int) (total int, results []*rpc.Result, more <-chan struct{}, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return 0, nil, nil, false
	}
	size := 0
	for i := max(after, 0); i < len(j.results); i++ {
		size += len(j.results[i].Text) + 200
		if len(results) > 0 && size > pageBytes {
			break
		}
		results = append(results, j.results[i])
	}
	return len(j.create.Items), results, j.wake, true
}

// Body returns the body of an item that is not listed yet.
func (l *State) ItemBody(id, item string) (body []byte, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil || j.body[item] == nil {
		return nil, false
	}
	return j.body[item].Body, true
}

// Stored is a job as it stands.
type StoredJob struct {
	Job         *rpc.CreateJob
	Committed   map[string]bool
	Ended       bool
	FirstSeenMS int64 // when this process heard of it first, by the ledger's clock
}

// Jobs returns all jobs as they stand, by id.
func (l *State) Jobs() (list []StoredJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		settled := make(map[string]bool, len(j.settled))
		for id := range j.settled {
			settled[id] = true
		}
		list = append(list, StoredJob{j.create, settled, j.ended, j.seenAt})
	}
	slices.SortFunc(list, func(a, b StoredJob) int { return cmp.Compare(a.Job.Id, b.Job.Id) })
	return list
}
