package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports of the deployment. Each machine has a loopback address of its own.
const (
	firstPort     = 7380
	lastPort      = 7395
	controlPort   = 8144
	readinessPort = 8141
	frontendPort  = 8149
)

// program is the system's program, as the deploy file builds it.
const program = "target/saffronquay-system"

// machine is one machine: its settings and its processes.
type machine struct {
	name, class, ip, dir string
	roles                []string
	processes            map[string]*exec.Cmd // by role; only running ones
}

// deployment is a small deployment of the system on loopback addresses, with the bounds of the site cps.
type deployment struct {
	record   *record
	dir      string
	prefix   string // of the loopback addresses: the first two numbers
	machines []*machine
	seeds    []string
}

// newDeployment makes the settings of stewards, stores and edge machines in a temporary folder.
func newDeployment(r *record, edges int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir}
	if d.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	for i := range 3 {
		d.seeds = append(d.seeds, fmt.Sprintf("%s.1.%d:%d", d.prefix, i+1, controlPort))
		d.add("core", i, "steward")
	}
	for i := range 3 {
		d.add("storage", i, "store")
	}
	for i := range edges {
		d.add("edge", i, "agent", "proxy")
	}
	for _, m := range d.machines {
		if err := d.writeSettings(m); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freePrefix returns a range of loopback addresses on which the control port is free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d", 80+rand.IntN(160))
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.1.1:%d", prefix, controlPort))
		if err != nil {
			continue
		}
		return prefix, listener.Close()
	}
	return "", errors.New("no free range of loopback addresses")
}

var zones = []string{"rosario", "cordoba", "santafe"}

func (d *deployment) add(class string, number int, roles ...string) {
	part := map[string]int{"core": 1, "storage": 2, "edge": 3}[class]
	d.machines = append(d.machines, &machine{
		name: fmt.Sprintf("%s-%s-%d", class, zones[number%len(zones)], 1+number/len(zones)), class: class, roles: roles,
		ip: fmt.Sprintf("%s.%d.%d", d.prefix, part, number+1), processes: map[string]*exec.Cmd{},
	})
}

// writeSettings writes the settings file of a machine, with the keys of the operators' pages and the
// figures of the site cps.
func (d *deployment) writeSettings(m *machine) error {
	m.dir = filepath.Join(d.dir, m.name)
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
		return err
	}
	serves := map[string]string{"core": "control_plane", "storage": "storage", "edge": "edge"}[m.class]
	zone := strings.Split(m.name, "-")[1]
	var t strings.Builder
	fmt.Fprintf(&t, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"pampa-norte\"\n", m.name, m.class, m.class, serves, m.ip, zone)
	fmt.Fprintf(&t, "portRange = [%d,%d]\nseeds = [%q,%q,%q]\nbootstrap = true\ncountsForQuorum = %v\n", firstPort, lastPort, d.seeds[0], d.seeds[1], d.seeds[2], m.class != "edge")
	fmt.Fprintf(&t, "discovery = \"self_register\"\nentry = \"virtual_ip\"\nheartbeatMs = %d\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\"]\n", heartbeatMS)
	memory, disk := 284, 0
	if m.class != "edge" {
		fmt.Fprintf(&t, "dataDir = %q\n", filepath.Join(m.dir, "data"))
		memory, disk = 314, 480
		if m.class == "core" {
			memory, disk = 280, 128
		}
	}
	t.WriteString("[zones]\nrosario = \"pampa-norte\"\ncordoba = \"pampa-norte\"\nsantafe = \"pampa-norte\"\n[listen]\n")
	switch m.class {
	case "core":
		fmt.Fprintf(&t, "controlPlane = \"%s:%d\"\n", m.ip, controlPort)
	case "edge":
		fmt.Fprintf(&t, "frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, frontendPort, m.ip, readinessPort)
	}
	fmt.Fprintf(&t, "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = %d\n", memory, disk)
	t.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.7\ndrainMs = 2000\ngraceS = 8\n" +
		"lossSlackMs = 200\npropagationMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\npass_ms = 120\nagain_s = 0\nfinishS = 10\nstatusIntervalS = 120\ncancelMs = 3000\n" +
		"settleMs = 1000\nquotaOvershoot = 0.1\nfencing = true\nleaseMs = 3000\nthawMs = 300\n")
	return os.WriteFile(filepath.Join(m.dir, "settings.toml"), []byte(t.String()), 0o600)
}

// start starts the processes of a machine with the commands of the deploy file.
func (d *deployment) start(m *machine) error {
	for _, role := range m.roles {
		// An agent listens on 127.0.0.1, which the machines of this deployment share: that of the first
		// edge machine serves the proxies of all of them.
		if role == "agent" && m != d.class("edge")[0] {
			continue
		}
		if err := d.startRole(m, role); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startRole(m *machine, role string) error {
	port := "9464/metrics"
	if role == "agent" {
		port = "9465/metrics"
	}
	log, err := os.OpenFile(filepath.Join(m.dir, role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	arguments := []string{"--metrics", port, role}
	if level := os.Getenv("LOG_LEVEL"); level != "" { // for looking into a scene
		arguments = append([]string{"--log-level", level}, arguments...)
	}
	cmd := exec.Command(program, arguments...)
	cmd.Env = append(os.Environ(), "SAFFRONQUAY_SETTINGS="+filepath.Join(m.dir, "settings.toml"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.processes[role] = cmd
	d.record.write("started", "machine", m.name, "role", role)
	return nil
}

// startAll starts all machines.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

// kill ends the processes of a machine with SIGKILL.
func (d *deployment) kill(m *machine) {
	for role, cmd := range m.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(m.processes, role)
		d.record.write("killed", "machine", m.name, "role", role)
	}
}

// end kills all processes and removes the temporary folder.
func (d *deployment) end() {
	for _, m := range d.machines {
		d.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", d.dir)
	}
}

func (d *deployment) class(class string) (list []*machine) {
	for _, m := range d.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

func (m *machine) frontend() string { return fmt.Sprintf("%s:%d", m.ip, frontendPort) }
func (m *machine) control() string  { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

// await polls a condition until it holds, for limit at most.
func await(what string, limit time.Duration, condition func() error) error {
	end := time.Now().Add(limit)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v: %w", what, limit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
