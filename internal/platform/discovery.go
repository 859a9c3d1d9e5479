// Package platform holds the thin codecs of the platform's own protocol: client requests and answers, worker
// frames and discovery's lists. It opens no socket and decides nothing.
package platform

import (
	"fmt"

	"github.com/valyala/fastjson"

	yw "yarrowwalk"
)

// List is one object of discovery's: the whole list of workers, or what changed.
type List struct {
	Generation int64
	Whole      bool
	// Servers carries start times as discovery gives them, in Unix microseconds.
	Servers   []yw.Server
	Addresses map[yw.ServerID]string
}

var lifecycles = map[string]yw.Health{"SERVING": yw.Ready, "DRAINING": yw.Draining, "DELETED": yw.Gone}

// ParseList reads one object of discovery's.
func ParseList(text []byte) (List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return List{}, fmt.Errorf("list of workers: %w", err)
	}
	if v.Get("generation") == nil || v.Get("instances") == nil {
		return List{}, fmt.Errorf("list of workers: generation or instances missing")
	}
	l := List{Generation: v.GetInt64("generation"), Whole: v.GetBool("reset"), Addresses: map[yw.ServerID]string{}}
	for i, e := range v.GetArray("instances") {
		id := yw.ServerID(e.GetStringBytes("instanceId"))
		health, ok := lifecycles[string(e.GetStringBytes("lifecycle"))]
		if id == "" || !ok {
			return List{}, fmt.Errorf("list of workers: instances[%d]: no instanceId, or unknown lifecycle %q", i,
				e.GetStringBytes("lifecycle"))
		}
		l.Servers = append(l.Servers, yw.Server{ID: id, Zone: string(e.GetStringBytes("zone")),
			Cell: e.GetInt("cell"), Health: health, StartedAt: e.GetInt64("startedAtMs") * 1000})
		if addr := e.GetStringBytes("hostPort"); len(addr) > 0 {
			l.Addresses[id] = string(addr)
		}
	}
	return l, nil
}
