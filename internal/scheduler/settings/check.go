package settings

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// maxPort is the highest port of TCP and UDP.
const maxPort = 65535

// faults collects the problems of a settings file, each with its key.
type faults []error

func (f *faults) add(key, format string, values ...any) {
	*f = append(*f, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, values...)))
}

// check returns all problems of the settings, joined by errors.Join.
func (s *Settings) check() error {
	var f faults
	if s.NodeName == "" {
		f.add("nodeName", "is missing")
	}
	s.checkAddresses(&f)
	s.checkNumbers(&f)
	if err := s.FeatureGates.Check(); err != nil {
		f.add("decisions.policy", "%v", err)
	}
	return errors.Join(f...)
}

func (s *Settings) checkAddresses(f *faults) {
	if _, err := netip.ParseAddr(s.IP); err != nil {
		f.add("ip", "%q is not an IP address", s.IP)
	}
	if !s.hasValidPortRange() {
		f.add("portRange", "must be the first and the last of at least %d ports, got %v", reservedPorts, s.PortRange)
	}
	for i, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			f.add(fmt.Sprintf("seeds[%d]", i), "%q is not an IP address with a port", seed)
		}
	}
	listen := map[string]string{
		"listen.frontend":     s.Listen.Frontend,
		"listen.readiness":    s.Listen.Readiness,
		"listen.controlPlane": s.Listen.ControlPlane,
	}
	for _, key := range slices.Sorted(maps.Keys(listen)) {
		address := listen[key]
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			f.add(key, "%q is not an IP address with a port", address)
		}
	}
}

// hasValidPortRange reports whether the range has two ports and is large enough for the reserved ones.
func (s *Settings) hasValidPortRange() bool {
	if len(s.PortRange) != 2 {
		return false
	}
	first, last := s.PortRange[0], s.PortRange[1]
	return first >= 1 && last >= first+reservedPorts-1 && last <= maxPort
}

func (s *Settings) checkNumbers(f *faults) {
	positive := map[string]float64{
		"heartbeatMs":    float64(s.HeartbeatMS),
		"bounds.graceS":  s.Bounds.GraceS,
		"bounds.leaseMs": s.Bounds.TakeOverDelayMS,
	}
	for _, key := range slices.Sorted(maps.Keys(positive)) {
		if value := positive[key]; value <= 0 {
			f.add(key, "must be above 0, got %v", value)
		}
	}
	if s.Tolerance.Machines < 0 {
		f.add("faultTolerance.machines", "must be 0 or more, got %d", s.Tolerance.Machines)
	}
}
