package settings

import (
	"errors"
	"fmt"
	"os"
	"saffronquay/internal/scheduler/featuregate"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// EnvironmentVariable is the name of the environment variable with the path of the settings file.
const EnvironmentVariable = "SAFFRONQUAY_SETTINGS"

// Values of Settings.Serves.
const (
	ServesEdge         = "edge"          // clients' requests
	ServesControlPlane = "control_plane" // replicas of the directory and the registry
	ServesStorage      = "storage"       // replicas of the batch job shards
)

// Settings is the content of a settings file. Fields marked "not read" have no effect in the scheduler.
type Settings struct {
	NodeName        string            `toml:"nodeName"`        // of the machine; must be unique
	Role            string            `toml:"role"`            // not read
	MachineClass    string            `toml:"machineClass"`    // not read
	Serves          []string          `toml:"serves"`          // the Serves constants
	IP              string            `toml:"ip"`              // of the machine, for the processes of the scheduler
	Zone            string            `toml:"zone"`            // of the machine
	Region          string            `toml:"region"`          // not read
	PortRange       []int             `toml:"portRange"`       // the first and the last port that the process may use
	Seeds           []string          `toml:"seeds"`           // addresses with port of the control plane's machines
	Bootstrap       bool              `toml:"bootstrap"`       // at their first start, the machines in Seeds create the replica groups
	CountsForQuorum bool              `toml:"countsForQuorum"` // not read
	DataDir         string            `toml:"dataDir"`         // directory of the log, the snapshots and the identity
	HeartbeatMS     int64             `toml:"heartbeatMs"`     // interval of workers' heartbeats
	Contracts       []string          `toml:"contracts"`       // not read
	Zones           map[string]string `toml:"zones"`           // not read
	Listen          Listen            `toml:"listen"`
	Limits          Limits            `toml:"limits"`
	Tolerance       Tolerance         `toml:"faultTolerance"`
	Bounds          Bounds            `toml:"bounds"`
	FeatureGates    featuregate.Gates `toml:"decisions"` // the enabled mechanisms
}

// Listen has the addresses with port at which a process accepts requests from outside the scheduler.
// The addresses may be empty.
type Listen struct {
	Frontend     string `toml:"frontend"`     // clients' requests
	Readiness    string `toml:"readiness"`    // readiness checks
	ControlPlane string `toml:"controlPlane"` // workers' heartbeats and the operator
}

// Limits are the resource limits of the process on its machine. 0 means no limit.
type Limits struct {
	CPUShare float64 `toml:"cpuShare"` // not read
	Cores    int     `toml:"cores"`    // not read
	MemoryMB int64   `toml:"memoryMb"` // the memory limit of the Go runtime is a fraction of it
	MaxFDs   int     `toml:"maxFds"`   // not read
	LinkMbps float64 `toml:"linkMbps"` // not read
	DiskMB   int64   `toml:"diskMb"`   // the log of a batch job shard is compacted at a fraction of it
}

// Tolerance is the number of simultaneous failures that the deployment must tolerate.
type Tolerance struct {
	Machines int `toml:"machines"` // determines the size of the replica groups
	Zones    int `toml:"zones"`    // not read
	Regions  int `toml:"regions"`  // not read
}

// Bounds are the time bounds of the deployment, and whether workers check fencing tokens. Names ending
// in S are seconds, names ending in MS milliseconds.
//
// A process that takes over a registry shard sends no orders to its workers until it has owned the
// shard for TakeOverDelayMS. It does not wait if no other machine was the last sender, or if Fencing is
// set and the process of the last sender has ended, because a late order then has no effect.
type Bounds struct {
	ContactMS       float64 `toml:"contactMs"`       // not read
	CatchUpS        float64 `toml:"catchUpS"`        // not read
	DrainMS         float64 `toml:"drainMs"`         // not read
	GraceS          float64 `toml:"graceS"`          // from SIGTERM to the exit of a proxy
	PropagationMS   float64 `toml:"propagationMs"`   // not read
	StatusIntervalS float64 `toml:"statusIntervalS"` // minimum retention of a batch job's results after its end
	CancelMS        float64 `toml:"cancelMs"`        // not read
	Fencing         bool    `toml:"fencing"`         // workers check fencing tokens
	TakeOverDelayMS float64 `toml:"leaseMs"`         // how long a new owner of a registry shard sends no orders
}

// defaults returns the settings of an empty file.
func defaults() *Settings {
	return &Settings{
		HeartbeatMS: 1000,
		Bounds: Bounds{
			ContactMS:       3000,
			CatchUpS:        5,
			DrainMS:         2000,
			GraceS:          8,
			PropagationMS:   2000,
			StatusIntervalS: 120,
			CancelMS:        3000,
			TakeOverDelayMS: 3000,
		},
		FeatureGates: featuregate.All(),
	}
}

// Load reads and validates the file at path. The error has the path, and all problems with their keys.
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

// Parse decodes and validates the text of a file. The error for text that is not valid TOML, or has a
// value of the wrong type, has the position; otherwise the error joins all problems, each with its
// key, and the settings are returned with it.
func Parse(text []byte) (*Settings, error) {
	s := defaults()
	if err := toml.Unmarshal(text, s); err != nil {
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			row, column := decodeError.Position()
			return nil, fmt.Errorf("line %d, column %d, key %s: %w", row, column, strings.Join(decodeError.Key(), "."), err)
		}
		return nil, err
	}
	return s, s.check()
}

// GroupSize returns the number of replicas that a group needs to keep a quorum after the loss of
// Tolerance.Machines machines, at least 3.
func (s *Settings) GroupSize() int { return 2*max(s.Tolerance.Machines, 1) + 1 }

// Milliseconds converts milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
