package simwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"saffronquay/internal/broker/config"

	sq "saffronquay"
)

// Kind is the type of a decoded line.
type Kind int

// The kinds of line. A batch consists of a BatchStart, any number of other lines, and a BatchEnd.
const (
	BatchStart     Kind = iota // starts a batch at the time Message.Now
	BatchEnd                   // ends the batch; the host replies
	Open                       // starts the instance Message.Instance
	ListDeclared               // declares the list Message.Slot
	InstanceKilled             // ends the instance Message.Instance without a reply
	SchedulerEvent             // an event for the scheduler of Message.Instance, in Message.Event
	Ignored                    // valid, but not used
)

// maxSlot is the highest slot of a declared list.
const maxSlot = 15

// Message is one decoded line. Which fields are set depends on Kind.
type Message struct {
	Kind     Kind
	Instance string // instance that the line is for
	Now      int64  // microseconds
	Serial   int64  // sequence number of the batch
	Seed     uint64
	Settings sq.Settings
	Slot     int
	Members  []sq.Server
	Event    sq.Event // for FleetChanged, the servers are those of list Slot
	UsesList bool     // the event refers to list Slot
}

// rawLine has the fields of all line types. A nil pointer marks a missing field.
type rawLine struct {
	Type        string             `json:"event_type"`
	AtTime      *int64             `json:"at_time_us"`
	Serial      *int64             `json:"serial"`
	Who         *string            `json:"who"`
	Seed        *uint64            `json:"random_seed"`
	Setup       json.RawMessage    `json:"setup"`
	Slot        *int               `json:"slot"`
	Members     *[]rawServer       `json:"members"`
	Scope       *int               `json:"scope"`
	Generation  *int64             `json:"generation"`
	Txn         *int64             `json:"txn"`
	Segment     *float64           `json:"segment_no"`
	Priority    *string            `json:"priority"`
	Group       *float64           `json:"group_no"`
	Deadline    *int64             `json:"client_deadline_us"`
	Work        *int64             `json:"work_us"`
	Object      *string            `json:"object"`
	Tenant      json.RawMessage    `json:"tenant"` // a name, or 0
	Weight      *float64           `json:"size_or_weight"`
	Server      *string            `json:"server"`
	Disposition *int               `json:"disposition"`
	Latency     *int64             `json:"latency_us"`
	Health      map[string]float64 `json:"health_info"`
	Shot        *int               `json:"shot"`
	TimerID     *int64             `json:"mark"`
	Sender      *int64             `json:"sender"`
	Payload     *string            `json:"payload"`
}

// rawServer is one entry of a declared list.
type rawServer struct {
	Server    *string `json:"server"`
	Campus    string  `json:"campus"`
	Slot      *int    `json:"slot_no"`
	Health    *int    `json:"health"`
	LastStart int64   `json:"last_start_us"`
}

// Decode parses one line. The error for a malformed line names its type and the invalid field.
func Decode(line []byte) (Message, error) {
	var l rawLine
	dec := json.NewDecoder(bytes.NewReader(line))
	if err := dec.Decode(&l); err != nil {
		return Message{}, fmt.Errorf("malformed JSON message: %w", err)
	}
	if dec.More() {
		return Message{}, errors.New("line contains more than one JSON value")
	}
	read, ok := readers[l.Type]
	if !ok {
		return Message{}, fmt.Errorf("unknown event %q", l.Type)
	}
	m, err := read(&l)
	if err != nil {
		return Message{}, fmt.Errorf("%s: %w", l.Type, err)
	}
	if l.Who != nil {
		m.Instance = *l.Who
	}
	return m, nil
}

// readers has the decoder for each line type. A decoder checks that the fields required by the type
// are present.
var readers = map[string]func(*rawLine) (Message, error){
	"Tick": func(l *rawLine) (Message, error) {
		if err := requireFields(field{"at_time_us", l.AtTime != nil}, field{"serial", l.Serial != nil}); err != nil {
			return Message{}, err
		}
		return Message{Kind: BatchStart, Now: *l.AtTime, Serial: *l.Serial}, nil
	},
	"End":          func(*rawLine) (Message, error) { return Message{Kind: BatchEnd}, nil },
	"OpenInstance": readOpen,
	"Ledger":       readList,
	"Fleet":        readFleet,
	"Ingress":      readIngress,
	"Hangup": func(l *rawLine) (Message, error) {
		if err := requireFields(field{"who", l.Who != nil}, field{"txn", l.Txn != nil}); err != nil {
			return Message{}, err
		}
		return eventMessage(sq.ClientLeft{Query: sq.ID(*l.Txn)})
	},
	"ProbeResult": readProbe,
	"Response":    readResponse,
	"HeadReceived": func(l *rawLine) (Message, error) {
		return Message{Kind: Ignored}, requireFields(
			field{"who", l.Who != nil},
			field{"txn", l.Txn != nil},
			field{"server", l.Server != nil},
			field{"shot", l.Shot != nil},
			field{"latency_us", l.Latency != nil},
		)
	},
	"Killed": func(l *rawLine) (Message, error) {
		return Message{Kind: InstanceKilled}, requireFields(field{"who", l.Who != nil})
	},
	"DeadlineHit": func(l *rawLine) (Message, error) {
		if err := requireFields(field{"who", l.Who != nil}, field{"mark", l.TimerID != nil}); err != nil {
			return Message{}, err
		}
		return eventMessage(sq.TimerFired{ID: *l.TimerID})
	},
	"NeighbourSays": func(l *rawLine) (Message, error) {
		if err := requireFields(
			field{"who", l.Who != nil},
			field{"sender", l.Sender != nil},
			field{"payload", l.Payload != nil},
		); err != nil {
			return Message{}, err
		}
		return eventMessage(sq.PeerMessage{Peer: int(*l.Sender), Text: *l.Payload})
	},
}

// eventMessage returns the message for an event of the scheduler.
func eventMessage(e sq.Event) (Message, error) { return Message{Kind: SchedulerEvent, Event: e}, nil }

// field is the name of a field and whether the line contains it.
type field struct {
	name    string
	present bool
}

// requireFields returns an error that names the first missing field.
func requireFields(fields ...field) error {
	for _, f := range fields {
		if !f.present {
			return fmt.Errorf("missing field %q", f.name)
		}
	}
	return nil
}

// readOpen decodes the start of an instance, with its settings.
func readOpen(l *rawLine) (Message, error) {
	if err := requireFields(
		field{"who", l.Who != nil},
		field{"random_seed", l.Seed != nil},
		field{"setup", len(l.Setup) > 0},
	); err != nil {
		return Message{}, err
	}
	set, err := config.ParseSettings(l.Setup)
	if err != nil {
		return Message{}, fmt.Errorf("setup: %w", err)
	}
	return Message{Kind: Open, Seed: *l.Seed, Settings: set.Module}, nil
}

// readList decodes a list of servers.
func readList(l *rawLine) (Message, error) {
	if err := requireFields(field{"slot", l.Slot != nil}, field{"members", l.Members != nil}); err != nil {
		return Message{}, err
	}
	if *l.Slot < 0 || *l.Slot > maxSlot {
		return Message{}, fmt.Errorf("slot %d out of range: want 0 to %d", *l.Slot, maxSlot)
	}
	m := Message{Kind: ListDeclared, Slot: *l.Slot}
	for i, r := range *l.Members {
		if err := requireFields(
			field{"server", r.Server != nil},
			field{"slot_no", r.Slot != nil},
			field{"health", r.Health != nil},
		); err != nil {
			return Message{}, fmt.Errorf("member %d: %w", i, err)
		}
		if *r.Health < int(sq.Gone) || *r.Health > int(sq.Draining) {
			return Message{}, fmt.Errorf("member %d: unknown health %d", i, *r.Health)
		}
		s := sq.Server{
			ID: sq.ServerID(*r.Server), Zone: r.Campus, Cell: *r.Slot, Health: sq.Health(*r.Health),
			StartedAt: r.LastStart,
		}
		m.Members = append(m.Members, s)
	}
	return m, nil
}

// readFleet decodes a change of the list of servers; the servers are those of a declared list.
func readFleet(l *rawLine) (Message, error) {
	if err := requireFields(field{"who", l.Who != nil}, field{"scope", l.Scope != nil}); err != nil {
		return Message{}, err
	}
	kinds := []sq.FleetKind{sq.FleetDelta, sq.FleetCached, sq.FleetFailed, sq.FleetFull}
	if *l.Scope < 0 || *l.Scope >= len(kinds) {
		return Message{}, fmt.Errorf("unknown scope %d", *l.Scope)
	}
	m := Message{Kind: SchedulerEvent, Event: sq.FleetChanged{Kind: kinds[*l.Scope]}}
	if kinds[*l.Scope] == sq.FleetFailed {
		return m, nil
	}
	m.UsesList = true
	if err := requireFields(field{"slot", l.Slot != nil}); err != nil {
		return Message{}, err
	}
	m.Slot = *l.Slot
	return m, nil
}

// readIngress decodes a query, which has a negative segment, or a part of a query.
func readIngress(l *rawLine) (Message, error) {
	err := requireFields(
		field{"who", l.Who != nil},
		field{"txn", l.Txn != nil},
		field{"segment_no", l.Segment != nil},
		field{"priority", l.Priority != nil},
		field{"group_no", l.Group != nil},
		field{"client_deadline_us", l.Deadline != nil},
	)
	if err != nil {
		return Message{}, err
	}
	var work int64
	if l.Work != nil {
		work = *l.Work
	}
	var key string
	if l.Object != nil {
		key = *l.Object
	}
	group := int64(*l.Group)
	if *l.Segment < 0 {
		tenant, err := tenantOf(l.Tenant)
		if err != nil {
			return Message{}, err
		}
		return eventMessage(sq.Query{
			ID: sq.ID(*l.Txn), Group: group, Class: *l.Priority, Tenant: tenant,
			Deadline: *l.Deadline, Work: work, Key: key,
		})
	}
	if *l.Segment > math.MaxInt32 {
		return Message{}, fmt.Errorf("segment_no %v out of range", *l.Segment)
	}
	if err := requireFields(field{"size_or_weight", l.Weight != nil}); err != nil {
		return Message{}, err
	}
	return eventMessage(sq.Part{
		ID: sq.ID(*l.Txn), Group: group, Shard: int(*l.Segment), Weight: *l.Weight,
		Work: work, Key: key,
	})
}

// tenantOf decodes the name of a tenant. Deployments without tenants send 0, null or no field.
func tenantOf(raw json.RawMessage) (string, error) {
	switch string(raw) {
	case "", "0", "null":
		return "", nil
	}
	var name string
	if err := json.Unmarshal(raw, &name); err != nil {
		return "", fmt.Errorf("field %q: %w", "tenant", err)
	}
	return name, nil
}

// readProbe decodes the outcome of a probe.
func readProbe(l *rawLine) (Message, error) {
	if err := requireFields(
		field{"who", l.Who != nil},
		field{"server", l.Server != nil},
		field{"disposition", l.Disposition != nil},
		field{"latency_us", l.Latency != nil},
	); err != nil {
		return Message{}, err
	}
	out, err := outcomeOf(*l.Disposition)
	if err != nil {
		return Message{}, err
	}
	return eventMessage(sq.ProbeEnded{
		Server: sq.ServerID(*l.Server), Outcome: out, Latency: *l.Latency,
		Report: loadReport(l.Health),
	})
}

// readResponse decodes the outcome of an attempt.
func readResponse(l *rawLine) (Message, error) {
	if err := requireFields(
		field{"who", l.Who != nil},
		field{"txn", l.Txn != nil},
		field{"shot", l.Shot != nil},
		field{"server", l.Server != nil},
		field{"disposition", l.Disposition != nil},
		field{"latency_us", l.Latency != nil},
	); err != nil {
		return Message{}, err
	}
	out, err := outcomeOf(*l.Disposition)
	if err != nil {
		return Message{}, err
	}
	return eventMessage(sq.AttemptEnded{
		Part: sq.ID(*l.Txn), Attempt: *l.Shot, Server: sq.ServerID(*l.Server),
		Outcome: out, Latency: *l.Latency, Report: loadReport(l.Health),
	})
}

// outcomes maps the dispositions on the wire to outcomes of the module.
var outcomes = map[int]sq.Outcome{
	100: sq.Served, 301: sq.Errored, 302: sq.Rejected, 303: sq.TimedOut,
	304: sq.Unreachable, 305: sq.Broken, 306: sq.Cancelled, 307: sq.NotSent,
}

// outcomeOf returns the outcome for a disposition. An unknown disposition is an error.
func outcomeOf(code int) (sq.Outcome, error) {
	o, ok := outcomes[code]
	if !ok {
		return 0, fmt.Errorf("unknown disposition %d", code)
	}
	return o, nil
}

// loadReport decodes a server's load report; nil if the line has none. Missing values are -1.
func loadReport(values map[string]float64) *sq.LoadReport {
	if values == nil {
		return nil
	}
	field := func(name string) float64 {
		if v, ok := values[name]; ok {
			return v
		}
		return -1
	}
	return &sq.LoadReport{
		Queue: field("backlog"), InFlight: field("outstanding"), Throughput: field("throughput"),
		Utilization: field("utilization"),
	}
}
