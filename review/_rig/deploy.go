//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the deployment, the same on every machine. Each machine has a loopback address of its own.
const (
	controlPort   = 8144
	frontendPort  = 8149
	readinessPort = 8141
	heartbeatMS   = 1200
	portsPerRange = 16
)

var zones = []string{"santander-hall", "gijon-hall", "bilbao-hall"}

// edges is the number of edge machines; the fourth one is in the first zone.
const edges = 4

// machine is one machine and the processes that run on it.
type machine struct {
	name, class, ip, zone string
	firstPort             int
	roles                 []string
	processes             []*exec.Cmd
}

// play is a running deployment with its stand-ins and its record.
type play struct {
	trouble  bool
	dir      string
	subnet   string // the first three numbers of all addresses
	basePort int
	commands map[string][]string // of the roles, as the deploy file has them
	machines []*machine
	workers  []*workerProcess
	began    time.Time

	mu     sync.Mutex // guards record and runs
	record *os.File
	runs   map[string]int // by request: how often a worker began to run it
}

func newPlay(record string, trouble bool) (*play, error) {
	commands, err := readDeployFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	p := &play{trouble: trouble, dir: dir, commands: commands, record: file, began: time.Now(), runs: map[string]int{}}
	if err := p.chooseAddresses(); err != nil {
		return nil, err
	}
	p.note("trouble: %v; addresses %s.0/24; first internal port %d", trouble, p.subnet, p.basePort)
	return p, nil
}

// chooseAddresses draws addresses until the ports that the machines share on this host are free.
func (p *play) chooseAddresses() error {
	for range 50 {
		p.subnet = fmt.Sprintf("127.%d.%d", 40+rand.IntN(180), 1+rand.IntN(250))
		p.basePort = 20000 + portsPerRange*rand.IntN(600)
		free := true
		for i := range edges * portsPerRange {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", p.basePort+i))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errNotRun)
}

// readDeployFile returns the commands of the roles.
func readDeployFile(path string) (map[string][]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	commands := map[string][]string{}
	role := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if run, ok := strings.CutPrefix(line, "run = "); ok && role != "" {
			commands[role] = strings.Fields(strings.Trim(run, `"`))
		}
	}
	if len(commands) != 4 {
		return nil, fmt.Errorf("%w: %s has %d roles, want 4", errNotRun, path, len(commands))
	}
	return commands, nil
}

// note writes a line to the record.
func (p *play) note(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f s  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, values...))
}

// addMachines adds three core machines, three storage machines and the edge machines.
//
// The agents of all edge machines listen on 127.0.0.1, which they share on this host. Each further edge
// machine therefore has internal ports of its own, and relays on the core machines' addresses pass
// these ports on to the real ones, at once and unchanged.
func (p *play) addMachines() error {
	add := func(class string, group, number, firstPort int, roles ...string) {
		p.machines = append(p.machines, &machine{
			name: fmt.Sprintf("%s-%s-%d", class, zones[number%len(zones)], number/len(zones)+1), class: class, zone: zones[number%len(zones)],
			ip: fmt.Sprintf("%s.%d", p.subnet, 10*group+number+1), firstPort: firstPort, roles: roles,
		})
	}
	for i := range zones {
		add("core", 1, i, p.basePort, "steward")
		add("storage", 2, i, p.basePort, "store")
	}
	for i := range edges {
		firstPort := p.basePort + i*portsPerRange
		add("edge", 3, i, firstPort, "agent", "proxy")
		if i == 0 {
			continue
		}
		for _, m := range p.machines {
			if m.class != "core" {
				continue
			}
			if err := p.startRelays(m, firstPort); err != nil {
				return err
			}
		}
	}
	for _, m := range p.machines {
		if err := p.writeSettings(m); err != nil {
			return err
		}
	}
	return nil
}

// startRelays passes calls and datagrams for a core machine's ports from firstPort on to its real ones.
func (p *play) startRelays(m *machine, firstPort int) error {
	for i := range 2 { // calls, and exchanges of the membership
		if err := relayStream(fmt.Sprintf("%s:%d", m.ip, firstPort+i), fmt.Sprintf("%s:%d", m.ip, m.firstPort+i)); err != nil {
			return err
		}
	}
	return relayDatagrams(fmt.Sprintf("%s:%d", m.ip, firstPort+1), fmt.Sprintf("%s:%d", m.ip, m.firstPort+1))
}

func (p *play) machine(name string) *machine {
	for _, m := range p.machines {
		if m.name == name {
			return m
		}
	}
	panic("no machine " + name)
}

func (m *machine) control() string  { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m *machine) frontend() string { return fmt.Sprintf("%s:%d", m.ip, frontendPort) }

// controls returns the addresses of the control plane.
func (p *play) controls() (list []string) {
	for _, m := range p.machines {
		if m.class == "core" {
			list = append(list, m.control())
		}
	}
	return list
}

// writeSettings writes the settings file of a machine, as the pages show it.
func (p *play) writeSettings(m *machine) error {
	serves := map[string]string{"core": "control_plane", "storage": "storage", "edge": "edge"}[m.class]
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"cantabrico\"\n", m.name, "my-"+m.class, m.class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "portRange = [%d,%d]\nseeds = [\"%s\"]\nbootstrap = true\ncountsForQuorum = %v\n", m.firstPort, m.firstPort+portsPerRange-1, strings.Join(p.controls(), `","`), m.class != "edge")
	fmt.Fprintf(&b, "discovery = \"self_register\"\nentry = \"virtual_ip\"\nheartbeatMs = %d\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\"batch\"]\n", heartbeatMS)
	if m.class != "edge" {
		data := filepath.Join(p.dir, m.name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
		fmt.Fprintf(&b, "dataDir = %q\n", data)
	}
	b.WriteString("[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&b, "%s = \"cantabrico\"\n", zone)
	}
	b.WriteString("[listen]\n")
	switch m.class {
	case "core":
		fmt.Fprintf(&b, "controlPlane = %q\n", m.control())
	case "edge":
		fmt.Fprintf(&b, "frontend = %q\nreadiness = \"%s:%d\"\n", m.frontend(), m.ip, readinessPort)
	}
	limits := map[string]string{
		"edge":    "cpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n",
		"storage": "cpuShare = 0.8\ncores = 1\nmemoryMb = 304\nmaxFds = 8200\nlinkMbps = 600.0\ndiskMb = 420\n",
		"core":    "cpuShare = 0.96\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n",
	}
	b.WriteString("[limits]\n" + limits[m.class])
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	b.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.5\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\npropagationMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\npass_ms = 120\nagain_s = 0\nfinishS = 10\nstatusIntervalS = 120\ncancelMs = 3000\nsettleMs = 1000\nquotaOvershoot = 0.1\nfencing = false\nleaseMs = 3000\nthawMs = 300\n")
	return os.WriteFile(p.settingsFile(m), []byte(b.String()), 0o600)
}

func (p *play) settingsFile(m *machine) string { return filepath.Join(p.dir, m.name+".toml") }

// start starts the roles of a machine with the commands of the deploy file.
func (p *play) start(m *machine) error {
	for _, role := range m.roles {
		command := p.commands[role]
		log, err := os.OpenFile(filepath.Join(p.dir, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAFFRONQUAY_SETTINGS=" + p.settingsFile(m)}
		cmd.Stdout, cmd.Stderr = log, log
		err = cmd.Start()
		log.Close()
		if err != nil {
			return err
		}
		m.processes = append(m.processes, cmd)
	}
	return nil
}

func (p *play) startAll() error {
	for _, m := range p.machines {
		if err := p.start(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the processes of a machine.
func (m *machine) signal(s syscall.Signal) {
	for _, process := range m.processes {
		_ = process.Process.Signal(s) // fails if the process has ended
	}
}

// wait waits for the processes of a machine, which must have been told to end.
func (m *machine) wait() {
	for _, process := range m.processes {
		_ = process.Wait() // the status after a signal does not matter
	}
	m.processes = nil
}

// close ends all processes and removes the temporary folder.
func (p *play) close() {
	for _, m := range p.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, w := range p.workers {
		w.kill()
	}
	for _, m := range p.machines {
		m.wait()
	}
	p.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir) // only a temporary folder
	}
}
