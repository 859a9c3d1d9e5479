package batchjobs

import (
	"cmp"
	"maps"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	// maxReadBytes bounds the results of one read, so that its response stays below 1 MB.
	maxReadBytes = 400 << 10
	// resultOverheadBytes is the size of a result in a response without its text.
	resultOverheadBytes = 200
)

// State is the replicated state of one shard: its jobs, their results, and which of them have ended.
// It implements replica.StateMachine. Apply, Snapshot and Restore must be called from the replica's
// goroutine only; the other methods may be called from any goroutine and see the entries that this
// replica has applied so far.
//
// A committed result is never changed or moved to another position. An ended job keeps its results
// and item ids until it is deleted by a forget command.
type State struct {
	mu       sync.Mutex
	jobs     map[string]*job
	onChange func(Change)
	clock    func() int64
}

// job is one batch job.
type job struct {
	spec        *rpc.CreateJob
	results     []*rpc.Result
	committed   map[string]bool     // ids of the items that have a result
	failures    map[string][]uint64 // by item without a result: the numbers of the leases of its failed runs
	ended       bool
	firstSeenMS int64                // by State.clock, which unlike the wall clock never steps
	changed     chan struct{}        // closed and replaced when a result is added or the job ends
	items       map[string]*rpc.Item // by id; nil after the job has ended
}

// Change describes the effect of a log entry or a restored snapshot. At most one of CreatedJob,
// CommittedJob, FailedJob, EndedJob and Restored is set; none is set if the entry changed nothing.
type Change struct {
	CreatedJob     *rpc.CreateJob
	CommittedJob   string   // id of the job that results were appended to
	CommittedItems []string // ids of all items in the entry, including those whose result was ignored
	FailedJob      string   // id of the job whose items have failed
	Failures       []*rpc.ItemFailure
	EndedJob       string // id of a job that ended or was deleted
	Restored       bool   // the complete state was replaced by a snapshot
}

// NewState returns a state without jobs. onChange, if not nil, is called after every entry and every
// Restore, on the replica's goroutine, in the order of the log, without the state's lock. clock returns
// the milliseconds of a monotonic clock.
func NewState(onChange func(Change), clock func() int64) *State {
	return &State{jobs: map[string]*job{}, onChange: onChange, clock: clock}
}

func newJob(spec *rpc.CreateJob, firstSeenMS int64) *job {
	j := &job{
		spec: spec, firstSeenMS: firstSeenMS, committed: map[string]bool{}, failures: map[string][]uint64{}, changed: make(chan struct{}),
		items: make(map[string]*rpc.Item, len(spec.Items)),
	}
	for _, item := range spec.Items {
		j.items[item.Id] = item
	}
	return j
}

// Apply implements replica.StateMachine. It returns an encoded rpc.LedgerResult. Applying a command
// again has no effect, except that a create command creates the job again if it was deleted in between.
func (s *State) Apply(_ uint64, command []byte) []byte {
	c := &rpc.LedgerCommand{}
	result := &rpc.LedgerResult{Unknown: true}
	var change Change
	if proto.Unmarshal(command, c) == nil {
		s.mu.Lock()
		result, change = s.apply(c)
		s.mu.Unlock()
	}
	if s.onChange != nil {
		s.onChange(change)
	}
	encoded, _ := proto.Marshal(result) // cannot fail: the message has two booleans only
	return encoded
}

// apply executes a command. The caller holds the lock.
func (s *State) apply(c *rpc.LedgerCommand) (*rpc.LedgerResult, Change) {
	done, unknown := &rpc.LedgerResult{}, &rpc.LedgerResult{Unknown: true}
	switch x := c.Command.(type) {
	case *rpc.LedgerCommand_Create:
		if s.jobs[x.Create.Id] != nil {
			return done, Change{}
		}
		s.jobs[x.Create.Id] = newJob(x.Create, s.clock())
		return done, Change{CreatedJob: x.Create}
	case *rpc.LedgerCommand_Append:
		j := s.jobs[x.Append.Job]
		if j == nil {
			return unknown, Change{}
		}
		return done, Change{CommittedJob: x.Append.Job, CommittedItems: j.append(x.Append.Results)}
	case *rpc.LedgerCommand_Failed:
		j := s.jobs[x.Failed.Job]
		if j == nil {
			return unknown, Change{}
		}
		j.recordFailures(x.Failed.Failures)
		return done, Change{FailedJob: x.Failed.Job, Failures: x.Failed.Failures}
	case *rpc.LedgerCommand_End:
		j := s.jobs[x.End.Job]
		if j == nil {
			return unknown, Change{}
		}
		if !j.ended {
			j.end()
			j.notifyReaders()
		}
		return done, Change{EndedJob: x.End.Job}
	case *rpc.LedgerCommand_Forget:
		delete(s.jobs, x.Forget)
		return done, Change{EndedJob: x.Forget}
	}
	return unknown, Change{}
}

// append adds results at the next positions and returns the ids of their items. It ignores results of
// items that already have one or do not belong to the job, and all results after the job has ended.
func (j *job) append(results []*rpc.Result) (items []string) {
	for _, r := range results {
		items = append(items, r.Item)
		if j.ended || j.committed[r.Item] || j.items[r.Item] == nil {
			continue
		}
		j.committed[r.Item] = true
		delete(j.failures, r.Item)
		j.results = append(j.results, r)
	}
	j.notifyReaders()
	return items
}

// end marks the job as ended and releases the data that can no longer be read: bodies, headers and
// scorer requests. It replaces the spec instead of changing it, because snapshots and schedulers may
// still refer to the old one.
func (j *job) end() {
	j.ended = true
	reduced := &rpc.CreateJob{
		Id: j.spec.Id, Host: j.spec.Host, Model: j.spec.Model, SentUnixMs: j.spec.SentUnixMs, DeadlineMs: j.spec.DeadlineMs,
		MaxQueueMs: j.spec.MaxQueueMs, Items: make([]*rpc.Item, 0, len(j.spec.Items)),
	}
	for _, item := range j.spec.Items {
		reduced.Items = append(reduced.Items, &rpc.Item{Id: item.Id})
	}
	j.spec, j.items, j.failures = reduced, nil, nil
}

// notifyReaders wakes the readers that wait for a change of the job.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// HasJob reports whether a job was accepted and has not been deleted.
func (s *State) HasJob(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id] != nil
}

// Read returns the results of a job starting at position after: as many as fit into one response, and
// at least one if there is any. total is the number of the job's items. changed is closed when a
// result is added, the job ends, or a snapshot is restored; it is not closed when the job is deleted.
// found is false if the job is not known. The caller must not modify the results.
func (s *State) Read(id string, after int) (total int, results []*rpc.Result, changed <-chan struct{}, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return 0, nil, nil, false
	}
	size := 0
	for i := max(after, 0); i < len(j.results); i++ {
		size += len(j.results[i].Text) + resultOverheadBytes
		if len(results) > 0 && size > maxReadBytes {
			break
		}
		results = append(results, j.results[i])
	}
	return len(j.spec.Items), results, j.changed, true
}

// ItemBody returns the body of an item's request. found is false if the job or the item is not known,
// or the job has ended. The caller must not modify the body.
func (s *State) ItemBody(jobID, itemID string) (body []byte, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[jobID]
	if j == nil || j.items[itemID] == nil {
		return nil, false
	}
	return j.items[itemID].Body, true
}

// StoredJob is a copy of a job's state. Job is shared and must not be modified.
type StoredJob struct {
	Job         *rpc.CreateJob
	Committed   map[string]bool     // ids of the items that have a result; a copy
	Failures    map[string][]uint64 // by item without a result: the leases of its failed runs; a copy
	Ended       bool
	FirstSeenMS int64 // when this process first applied or restored the job, by the state's clock
}

// Jobs returns all jobs, sorted by id.
func (s *State) Jobs() (jobs []StoredJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		jobs = append(jobs, StoredJob{Job: j.spec, Committed: maps.Clone(j.committed), Failures: maps.Clone(j.failures), Ended: j.ended, FirstSeenMS: j.firstSeenMS})
	}
	slices.SortFunc(jobs, func(a, b StoredJob) int { return cmp.Compare(a.Job.Id, b.Job.Id) })
	return jobs
}
