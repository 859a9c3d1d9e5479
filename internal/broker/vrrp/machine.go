package vrrp

import "net/netip"

// State is the state of a virtual router.
type State int

// The states.
const (
	Initialize State = iota
	Backup
	Active
)

// String returns the name of the state in lower case.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// Owner is the priority of the router that owns the addresses.
const Owner = 255

// Config is the configuration of a virtual router on one of its routers.
type Config struct {
	VRID      byte
	Priority  byte  // 1 to 255; Owner for the owner of the addresses
	Interval  int64 // centiseconds
	Preempt   bool  // take over from an Active router of lower priority
	Addresses []netip.Addr
	Primary   netip.Addr // this router's own address; the greater address wins a tie of priority
}

// Machine is the state machine of section 6.4 of the RFC. It has one timer: Active_Down_Timer as
// Backup, Adver_Timer as Active. Each method that returns an advertisement returns what the caller
// must send, or nil. A Machine is not safe for concurrent use.
type Machine struct {
	cfg      Config
	state    State
	interval int64 // Active_Adver_Interval, centiseconds
	timer    int64 // when the timer fires; not valid in Initialize
}

// New returns a machine in state Initialize.
func New(cfg Config) *Machine { return &Machine{cfg: cfg, interval: cfg.Interval} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Timer returns when Tick must be called next. ok is false in Initialize, which has no timer.
func (m *Machine) Timer() (at int64, ok bool) { return m.timer, m.state != Initialize }

const (
	centisecond    = 10_000 // microseconds
	priorityLevels = 256
	missedToDown   = 3 // missed advertisements after which a Backup takes over
)

// skew returns Skew_Time in microseconds: the higher the priority, the earlier a Backup takes over.
func (m *Machine) skew() int64 {
	return (priorityLevels - int64(m.cfg.Priority)) * m.interval * centisecond / priorityLevels
}

// downInterval returns Active_Down_Interval in microseconds.
func (m *Machine) downInterval() int64 { return missedToDown*m.interval*centisecond + m.skew() }

func (m *Machine) advertise(priority byte) *Advertisement {
	return &Advertisement{VRID: m.cfg.VRID, Priority: priority, Interval: m.cfg.Interval, Addresses: m.cfg.Addresses}
}

func (m *Machine) becomeActive(now int64) *Advertisement {
	m.state, m.timer = Active, now+m.cfg.Interval*centisecond
	return m.advertise(m.cfg.Priority)
}

// Start leaves Initialize: the owner of the addresses becomes Active, any other router Backup. In
// another state it does nothing.
func (m *Machine) Start(now int64) *Advertisement {
	if m.state != Initialize {
		return nil
	}
	if m.cfg.Priority == Owner {
		return m.becomeActive(now)
	}
	m.interval = m.cfg.Interval
	m.state, m.timer = Backup, now+m.downInterval()
	return nil
}

// Stop returns to Initialize. An Active router sends priority 0, so that the others take over
// without waiting for Active_Down_Interval.
func (m *Machine) Stop() *Advertisement {
	was := m.state
	m.state = Initialize
	if was == Active {
		return m.advertise(0)
	}
	return nil
}

// Tick processes the current time. When the timer has expired, a Backup becomes Active, and an
// Active router advertises.
func (m *Machine) Tick(now int64) *Advertisement {
	if m.state == Initialize || now < m.timer {
		return nil
	}
	return m.becomeActive(now) // an Active router only advertises and sets its timer again
}

// Receive processes an advertisement from the address of another router. It ignores those of other
// virtual routers.
func (m *Machine) Receive(now int64, a Advertisement, from netip.Addr) *Advertisement {
	if a.VRID != m.cfg.VRID {
		return nil
	}
	switch m.state {
	case Backup:
		m.receiveAsBackup(now, a)
	case Active:
		return m.receiveAsActive(now, a, from)
	}
	return nil
}

// receiveAsBackup restarts the timer, unless the sender has a lower priority and is to be
// preempted.
func (m *Machine) receiveAsBackup(now int64, a Advertisement) {
	switch {
	case a.Priority == 0:
		m.timer = now + m.skew()
	case !m.cfg.Preempt || a.Priority >= m.cfg.Priority:
		m.interval = a.Interval
		m.timer = now + m.downInterval()
	}
}

// receiveAsActive becomes Backup for a router of higher priority, or of the same priority and a
// greater address.
func (m *Machine) receiveAsActive(now int64, a Advertisement, from netip.Addr) *Advertisement {
	switch {
	case a.Priority == 0:
		return m.becomeActive(now)
	case a.Priority > m.cfg.Priority || a.Priority == m.cfg.Priority && from.Compare(m.cfg.Primary) > 0:
		m.interval = a.Interval
		m.state, m.timer = Backup, now+m.downInterval()
		return nil
	default:
		// Answer the router of lower priority immediately. The timer is not changed.
		return m.advertise(m.cfg.Priority)
	}
}
