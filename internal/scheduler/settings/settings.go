// Package settings reads the settings file of a process: who it is, where it listens, what its machine has, and the bounds that its
// deployment sets. Keys that it does not know are ignored.
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"saffronquay/internal/scheduler/featuregate"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// EnvironmentVariable names the environment variable that holds the file's path.
const EnvironmentVariable = "SAFFRONQUAY_SETTINGS"

// What a process may serve.
const (
	ServesEdge         = "edge"
	ServesControlPlane = "control_plane"
	ServesStorage      = "storage"
)

// Settings are what the file says.
type Settings struct {
	NodeName        string            `toml:"nodeName"`
	Role            string            `toml:"role"`
	MachineClass    string            `toml:"machineClass"`
	Serves          []string          `toml:"serves"`
	IP              string            `toml:"ip"`
	Zone            string            `toml:"zone"`
	Region          string            `toml:"region"`
	PortRange       []int             `toml:"portRange"`
	Seeds           []string          `toml:"seeds"`
	Bootstrap       bool              `toml:"bootstrap"`
	CountsForQuorum bool              `toml:"countsForQuorum"`
	DataDir         string            `toml:"dataDir"`
	HeartbeatMS     int64             `toml:"heartbeatMs"`
	Contracts       []string          `toml:"contracts"`
	Zones           map[string]string `toml:"zones"`
	Listen          Listen            `toml:"listen"`
	Limits          Limits            `toml:"limits"`
	Tolerance       Tolerance         `toml:"faultTolerance"`
	Bounds          Bounds            `toml:"bounds"`
	FeatureGates    featuregate.Gates `toml:"decisions"`
}

// Listen holds the addresses for what the role serves.
type Listen struct {
	Frontend     string `toml:"frontend"`
	Readiness    string `toml:"readiness"`
	ControlPlane string `toml:"controlPlane"`
}

// Limits are what the machine grants the process.
type Limits struct {
	CPUShare float64 `toml:"cpuShare"`
	Cores    int     `toml:"cores"`
	MemoryMB int64   `toml:"memoryMb"`
	MaxFDs   int     `toml:"maxFds"`
	LinkMbps float64 `toml:"linkMbps"`
	DiskMB   int64   `toml:"diskMb"`
}

// Tolerance is what may be lost at once while all rules are kept.
type Tolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// Bounds are figures of the rules. Names that end in S are seconds, those in MS milliseconds.
type Bounds struct {
	ContactMS       float64 `toml:"contactMs"`
	CatchUpS        float64 `toml:"catchUpS"`
	DrainMS         float64 `toml:"drainMs"`
	GraceS          float64 `toml:"graceS"`
	PropagationMS   float64 `toml:"propagationMs"`
	StatusIntervalS float64 `toml:"statusIntervalS"`
	CancelMS        float64 `toml:"cancelMs"`
	Fencing         bool    `toml:"fencing"`
	LeaseMS         float64 `toml:"leaseMs"`
}

// Load reads and checks the file at a path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks a file's text. All faults are named at once, each with its key.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{HeartbeatMS: 1000, Bounds: Bounds{
		ContactMS: 3000, CatchUpS: 5, DrainMS: 2000, GraceS: 8, PropagationMS: 2000,
		StatusIntervalS: 120, CancelMS: 3000, LeaseMS: 3000,
	}, FeatureGates: featuregate.All()}
	if err := toml.Unmarshal(text, s); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			row, column := at.Position()
			return nil, fmt.Errorf("line %d, column %d, key %s: %w", row, column, strings.Join(at.Key(), "."), err)
		}
		return nil, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var faults []error
	fault := func(key, format string, values ...any) {
		faults = append(faults, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, values...)))
	}
	if s.NodeName == "" {
		fault("nodeName", "is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		fault("ip", "%q is no address", s.IP)
	}
	if len(s.PortRange) != 2 || s.PortRange[0] < 1 || s.PortRange[1] < s.PortRange[0]+reservedPorts-1 || s.PortRange[1] > 65535 {
		fault("portRange", "want the first and the last of %d ports or more, not %v", reservedPorts, s.PortRange)
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			fault(fmt.Sprintf("seeds[%d]", i), "%q is no address with a port", seed)
		}
	}
	for key, address := range map[string]string{"listen.frontend": s.Listen.Frontend, "listen.readiness": s.Listen.Readiness, "listen.controlPlane": s.Listen.ControlPlane} {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			fault(key, "%q is no address with a port", address)
		}
	}
	for key, value := range map[string]float64{"heartbeatMs": float64(s.HeartbeatMS), "bounds.graceS": s.Bounds.GraceS, "bounds.leaseMs": s.Bounds.LeaseMS} {
		if value <= 0 {
			fault(key, "want more than 0, not %v", value)
		}
	}
	if s.Tolerance.Machines < 0 {
		fault("faultTolerance.machines", "want 0 or more, not %d", s.Tolerance.Machines)
	}
	if err := s.FeatureGates.Check(); err != nil {
		fault("decisions.policy", "%v", err)
	}
	return errors.Join(faults...)
}

// The ports of portRange that the processes of a machine use between each other.
const (
	peerPort = iota
	gossipPort
	agentPort
	agentGossipPort
	reservedPorts
)

func (s *Settings) address(port int) string {
	return net.JoinHostPort(s.IP, fmt.Sprint(s.PortRange[0]+port))
}

// PeerAddress is where the process answers calls of others of the system.
func (s *Settings) PeerAddress() string { return s.address(peerPort) }

// GossipAddress is where it takes part in the membership protocol.
func (s *Settings) GossipAddress() string { return s.address(gossipPort) }

// AgentAddress is where the agent of a machine answers the proxy beside it.
func (s *Settings) AgentAddress() string { return s.address(agentPort) }

// PeerAddressOf is the peer address of the machine that an address of any kind belongs to. Ports are the same on all machines.
func (s *Settings) PeerAddressOf(address string) string { return s.addressOnHostOf(address, peerPort) }

// GossipAddressOf is the address of the membership protocol on the machine that an address belongs to.
func (s *Settings) GossipAddressOf(address string) string {
	return s.addressOnHostOf(address, gossipPort)
}

func (s *Settings) addressOnHostOf(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, fmt.Sprint(s.PortRange[0]+port))
}

// GroupSize is the number of replicas that bears the loss of as many machines as the deployment names.
func (s *Settings) GroupSize() int { return 2*max(s.Tolerance.Machines, 1) + 1 }

// Milliseconds turns a bound into a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds turns a bound into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
