package batchjobs

import (
	"bufio"
	"errors"
	"io"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// errNoJob is returned for a snapshot with a record that has no job id.
var errNoJob = errors.New("batchjobs: snapshot record has no job id")

// itemsPerRecord is the maximum number of items, and of results, in one record of a snapshot.
const itemsPerRecord = 64

// Snapshot implements replica.StateMachine. Stored specs, items and results are immutable, so it
// copies references only; the returned function may run while further commands are applied.
func (s *State) Snapshot() (next func() proto.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []*rpc.StoredJob
	for _, j := range s.jobs {
		records = append(records, j.snapshotRecords()...)
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

// snapshotRecords returns the records of a job, in order. The first one has all fields of the job, the
// continued ones only its id.
func (j *job) snapshotRecords() (records []*rpc.StoredJob) {
	head := copyFields(j.spec)
	items, results, failures := j.spec.Items, j.results, j.failureRecords()
	for {
		recordItems := items[:min(len(items), itemsPerRecord)]
		recordResults := results[:min(len(results), itemsPerRecord)]
		items, results = items[len(recordItems):], results[len(recordResults):]
		head.Items = recordItems
		recordFailures := failures[:min(len(failures), itemsPerRecord)]
		failures = failures[len(recordFailures):]
		records = append(records, &rpc.StoredJob{
			Job: head, Results: recordResults, Failures: recordFailures, Ended: j.ended, Continued: len(records) > 0,
		})
		if len(items) == 0 && len(results) == 0 && len(failures) == 0 {
			return records
		}
		head = &rpc.CreateJob{Id: j.spec.Id}
	}
}

// copyFields returns a copy of a spec that shares the values of its fields. It copies every field, also one
// that is added later or that only a newer build knows.
func copyFields(spec *rpc.CreateJob) *rpc.CreateJob {
	copied := &rpc.CreateJob{}
	source, target := spec.ProtoReflect(), copied.ProtoReflect()
	target.SetUnknown(source.GetUnknown())
	source.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		target.Set(field, value)
		return true
	})
	return copied
}

// Restore implements replica.StateMachine. If the snapshot cannot be read, the state is unchanged. Jobs
// that were known before keep the time at which this process first saw them.
func (s *State) Restore(_ uint64, snapshot *bufio.Reader) error {
	stored, err := readSnapshot(snapshot)
	if err != nil {
		return err
	}
	s.mu.Lock()
	for _, j := range s.jobs {
		j.notifyReaders()
	}
	jobs := map[string]*job{}
	for id, record := range stored {
		j := newJob(record.Job, s.clock())
		if old := s.jobs[id]; old != nil {
			j.firstSeenMS = old.firstSeenMS
		}
		j.results = record.Results
		if record.Ended {
			j.end()
		}
		for _, r := range record.Results {
			j.committed[r.Item] = true
		}
		j.recordFailures(record.Failures)
		jobs[id] = j
	}
	s.jobs = jobs
	s.mu.Unlock()
	if s.onChange != nil {
		s.onChange(Change{Restored: true})
	}
	return nil
}

// readSnapshot reads all records of a snapshot, merges those of the same job, and returns them by job
// id.
func readSnapshot(snapshot *bufio.Reader) (map[string]*rpc.StoredJob, error) {
	jobs := map[string]*rpc.StoredJob{}
	for {
		record := &rpc.StoredJob{}
		err := replica.ReadRecord(snapshot, record)
		if errors.Is(err, io.EOF) {
			return jobs, nil
		}
		if err != nil {
			return nil, err
		}
		id := record.Job.GetId()
		if id == "" {
			return nil, errNoJob
		}
		if first := jobs[id]; record.Continued && first != nil {
			first.Job.Items = append(first.Job.Items, record.Job.Items...)
			first.Results = append(first.Results, record.Results...)
			first.Failures = append(first.Failures, record.Failures...)
			continue
		}
		jobs[id] = record
	}
}
