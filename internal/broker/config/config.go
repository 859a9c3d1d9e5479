package config

import (
	"fmt"
	"net"
	"saffronquay/internal/broker/platform"
	"slices"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// Node is the configuration of one gatherer on the platform.
type Node struct {
	Name, Listen, Discovery string
	Operator                string // address of the admin endpoint; empty: none
	Seed                    uint64
	Sockets, MemoryMB       int
	Known                   []sq.Server // the workers in the last list from discovery
	Addresses               map[sq.ServerID]string
	Generation              int64
	Settings                Settings
	keys                    []string // full names of all keys in the file
}

// Load reads the platform's configuration file that LB_CONFIG names. The other LB_ variables of the
// environment replace values of the file. getenv and readFile are those of package os, or of a test.
func Load(getenv func(string) string, readFile func(string) ([]byte, error)) (Node, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return Node{}, fmt.Errorf("LB_CONFIG: missing")
	}
	text, err := readFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	n, err := parseNode(text, getenv)
	if err != nil {
		return Node{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	return n, nil
}

// Reload reads the platform's configuration file again while the program runs. After an error no
// part of the file may be put in force.
//
// LB_DISCOVERY is ignored and the file's key discovery is used: the variable gives the address at
// the start only, and would tie the program to an address that is being retired. The file is
// generated, so a file that lacks a key of the file in force is rejected as damaged.
func Reload(getenv func(string) string, readFile func(string) ([]byte, error), inForce Node) (Node, error) {
	n, err := Load(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}, readFile)
	if err != nil {
		return Node{}, err
	}
	for _, key := range inForce.keys {
		if !slices.Contains(n.keys, key) {
			return Node{}, fmt.Errorf("LB_CONFIG: %s: missing, but present in the file in force", key)
		}
	}
	if err := inForce.Settings.checkLayout(n.Settings); err != nil {
		return Node{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	return n, nil
}

// keysOf returns the full names of all keys of an object and of the objects nested in it.
func keysOf(path string, o *fastjson.Object) (keys []string) {
	o.Visit(func(key []byte, v *fastjson.Value) {
		keys = append(keys, path+string(key))
		if v.Type() == fastjson.TypeObject {
			keys = append(keys, keysOf(path+string(key)+".", v.GetObject())...)
		}
	})
	return keys
}

func parseNode(text []byte, getenv func(string) string) (Node, error) {
	r, err := newReader(text)
	if err != nil {
		return Node{}, err
	}
	r.require("settings")
	either := func(env, key string) string {
		if v := getenv(env); v != "" {
			return v
		}
		return r.str(key, "")
	}
	n := Node{
		Name: either("LB_NAME", "name"), Listen: either("LB_LISTEN", "listen"),
		Discovery: either("LB_DISCOVERY", "discovery"), Operator: either("LB_OPERATOR", "operator"),
		Sockets: r.object("limits").count("sockets", defaultSockets), MemoryMB: r.object("limits").count("memory_mb", defaultMemoryMB),
	}
	for key, addr := range map[string]string{"listen": n.Listen, "discovery": n.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			r.fault(key, "%q is not host:port", addr)
		}
	}
	r.optionalHostPort("operator", n.Operator)
	r.checkLimits(n.Sockets, n.MemoryMB)
	n.Seed = r.seed()
	if r.has("settings") {
		n.Settings = readSettings(r.object("settings"))
		n.Settings.checkServing(r.object("settings"))
	}
	if err := r.err(); err != nil {
		return Node{}, err
	}
	n.keys = keysOf("", r.v.GetObject())
	n.Addresses = map[sq.ServerID]string{}
	if r.has("known") {
		list, err := platform.ParseList(r.v.Get("known").MarshalTo(nil))
		if err != nil {
			return Node{}, fmt.Errorf("known: invalid list of workers: %w", err)
		}
		n.Generation = list.Generation
		n.Known = list.Servers
		n.Addresses = list.Addresses
	}
	return n, nil
}

// Defaults and minimum values of the section limits.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	minSockets      = 64
	minMemoryMB     = 16
)

// checkLimits reports limits on descriptors and memory that are below the minimum.
func (r reader) checkLimits(sockets, memoryMB int) {
	if sockets < minSockets {
		r.fault("limits.sockets", "want %d or more, not %d", minSockets, sockets)
	}
	if memoryMB < minMemoryMB {
		r.fault("limits.memory_mb", "want %d or more, not %d", minMemoryMB, memoryMB)
	}
}
