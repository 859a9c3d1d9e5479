package platform

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// List is one message of discovery: the complete list of workers, or the workers that changed. The zero value has to take a
// complete update first.
type List struct {
	Generation int64 // of discovery, as it numbers its messages
	Complete   bool  // false: Servers has only what changed
	// Servers has start times as discovery gives them, in Unix microseconds.
	Servers   []sq.Server
	Addresses map[sq.ServerID]string
}

// Merge applies an update to the list. A complete update replaces it; a worker that the update lists as gone is removed.
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

// Append appends the list as a complete message of discovery, which ParseList reads.
func (l List) Append(dst []byte) []byte {
	var a fastjson.Arena
	o, items := a.NewObject(), a.NewArray()
	for i, v := range l.Servers {
		e := a.NewObject()
		e.Set("instanceId", a.NewString(string(v.ID)))
		e.Set("hostPort", a.NewString(l.Addresses[v.ID]))
		e.Set("zone", a.NewString(v.Zone))
		e.Set("cell", a.NewNumberInt(v.Cell))
		for word, health := range lifecycles {
			if health == v.Health {
				e.Set("lifecycle", a.NewString(word))
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

// lifecycles maps a worker's lifecycle, as discovery names it, to its health.
var lifecycles = map[string]sq.Health{"SERVING": sq.Ready, "DRAINING": sq.Draining, "DELETED": sq.Gone}

// ParseList reads one message of discovery. It fails on malformed JSON, on missing fields and on an unknown lifecycle.
func ParseList(text []byte) (List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("list of workers: %w", err)
	}
	if v.Get("generation") == nil || v.Get("instances") == nil {
		return List{}, fmt.Errorf("list of workers: generation or instances missing")
	}
	l := List{Generation: v.GetInt64("generation"), Complete: v.GetBool("reset"), Addresses: map[sq.ServerID]string{}}
	for i, e := range v.GetArray("instances") {
		id := sq.ServerID(e.GetStringBytes("instanceId"))
		health, ok := lifecycles[string(e.GetStringBytes("lifecycle"))]
		if id == "" || !ok {
			return List{}, fmt.Errorf("list of workers: instances[%d]: no instanceId, or unknown lifecycle %q", i,
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
