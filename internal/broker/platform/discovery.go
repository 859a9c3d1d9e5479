package platform

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// List is one message of discovery: the complete list of workers, or only the workers that changed.
// A zero List must be merged with a complete list first.
type List struct {
	Generation int64 // sequence number that discovery gave the message
	Complete   bool  // false: Servers contains only changes
	// Servers has the start times that discovery reports, in Unix microseconds.
	Servers   []sq.Server
	Addresses map[sq.ServerID]string
}

// Merge applies an update to the list. A complete update replaces the list; a worker that is listed
// as gone is removed.
func (l *List) Merge(update List) {
	if update.Complete {
		*l = List{Complete: true, Addresses: map[sq.ServerID]string{}}
	}
	l.Generation = update.Generation
	for _, v := range update.Servers {
		l.Servers = slices.DeleteFunc(l.Servers, func(o sq.Server) bool { return o.ID == v.ID })
		if v.Health == sq.Gone {
			delete(l.Addresses, v.ID)
			continue
		}
		l.Servers = append(l.Servers, v)
		if a := update.Addresses[v.ID]; a != "" {
			l.Addresses[v.ID] = a
		}
	}
}

// Append appends the list as a complete message of discovery, which ParseList can read.
func (l List) Append(dst []byte) []byte {
	var a fastjson.Arena
	o, items := a.NewObject(), a.NewArray()
	for i, v := range l.Servers {
		e := a.NewObject()
		e.Set("instanceId", a.NewString(string(v.ID)))
		e.Set("hostPort", a.NewString(l.Addresses[v.ID]))
		e.Set("zone", a.NewString(v.Zone))
		e.Set("cell", a.NewNumberInt(v.Cell))
		for name, health := range lifecycles {
			if health == v.Health {
				e.Set("lifecycle", a.NewString(name))
			}
		}
		e.Set("startedAtMs", a.NewNumberString(strconv.FormatInt(v.StartedAt/1000, 10)))
		items.SetArrayItem(i, e)
	}
	o.Set("generation", a.NewNumberString(strconv.FormatInt(l.Generation, 10)))
	o.Set("reset", a.NewTrue())
	o.Set("instances", items)
	return o.MarshalTo(dst)
}

// lifecycles maps the lifecycle of a worker, as discovery names it, to its health.
var lifecycles = map[string]sq.Health{"SERVING": sq.Ready, "DRAINING": sq.Draining, "DELETED": sq.Gone}

// ParseList parses one message of discovery. It fails on malformed JSON, missing fields and unknown
// lifecycles.
func ParseList(text []byte) (List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("parse list of workers: %w", err)
	}
	if v.Get("generation") == nil || v.Get("instances") == nil {
		return List{}, fmt.Errorf("parse list of workers: missing field generation or instances")
	}
	l := List{Generation: v.GetInt64("generation"), Complete: v.GetBool("reset"), Addresses: map[sq.ServerID]string{}}
	for i, e := range v.GetArray("instances") {
		id := sq.ServerID(e.GetStringBytes("instanceId"))
		health, ok := lifecycles[string(e.GetStringBytes("lifecycle"))]
		if id == "" || !ok {
			return List{}, fmt.Errorf("parse list of workers: instances[%d]: missing instanceId or unknown lifecycle %q", i,
				e.GetStringBytes("lifecycle"))
		}
		l.Servers = append(l.Servers, sq.Server{
			ID: id, Zone: string(e.GetStringBytes("zone")),
			Cell: e.GetInt("cell"), Health: health, StartedAt: e.GetInt64("startedAtMs") * 1000,
		})
		if addr := e.GetStringBytes("hostPort"); len(addr) > 0 {
			l.Addresses[id] = string(addr)
		}
	}
	return l, nil
}
