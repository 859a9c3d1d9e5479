package vrrp

import "net/netip"

// State is one of the three states of a virtual router.
type State int

// The states.
const (
	Initialize State = iota
	Backup
	Active
)

func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// Owner is the priority of the router that owns the addresses.
const Owner = 255

// Config is one virtual router, as one of its routers sees it.
type Config struct {
	VRID      byte
	Priority  byte  // 1 to 255
	Interval  int64 // centiseconds
	Preempt   bool
	Addresses []netip.Addr
	Primary   netip.Addr // this router's own address; breaks ties of priority
}

// Machine is the state machine of section 6.4. Times are microseconds of one clock that never runs backwards.
// It runs one timer: Active_Down_Timer as Backup, Adver_Timer as Active.
type Machine struct {
	cfg      Config
	state    State
	interval int64 // Active_Adver_Interval, centiseconds
	timer    int64 // when the timer fires; without meaning in Initialize
}

// New makes a machine in Initialize.
func New(cfg Config) *Machine { return &Machine{cfg: cfg, interval: cfg.Interval} }

// State is the present state.
func (m *Machine) State() State { return m.state }

// Timer is when the running timer fires; ok is false where none runs.
func (m *Machine) Timer() (at int64, ok bool) { return m.timer, m.state != Initialize }

const centisecond = 10_000 // microseconds

// skew is Skew_Time in microseconds.
func (m *Machine) skew() int64 {
	return (256 - int64(m.cfg.Priority)) * m.interval * centisecond / 256
}

func (m *Machine) down() int64 { return 3*m.interval*centisecond + m.skew() }

func (m *Machine) advertise(priority byte) *Advertisement {
	return &Advertisement{VRID: m.cfg.VRID, Priority: priority, Interval: m.cfg.Interval, Addresses: m.cfg.Addresses}
}

func (m *Machine) becomeActive(now int64) *Advertisement {
	m.state, m.timer = Active, now+m.cfg.Interval*centisecond
	return m.advertise(m.cfg.Priority)
}

// Start leaves Initialize. What any of the machine's calls returns is to be sent.
func (m *Machine) Start(now int64) *Advertisement {
	if m.state != Initialize {
		return nil
	}
	if m.cfg.Priority == Owner {
		return m.becomeActive(now)
	}
	m.interval = m.cfg.Interval
	m.state, m.timer = Backup, now+m.down()
	return nil
}

// Stop returns to Initialize; an Active router tells the others to take over at once.
func (m *Machine) Stop() *Advertisement {
	was := m.state
	m.state = Initialize
	if was == Active {
		return m.advertise(0)
	}
	return nil
}

// Tick lets time pass.
func (m *Machine) Tick(now int64) *Advertisement {
	if m.state == Initialize || now < m.timer {
		return nil
	}
	return m.becomeActive(now) // as Active: the next advertisement of many
}

// Receive takes in an advertisement that a router sent from an address.
func (m *Machine) Receive(now int64, a Advertisement, from netip.Addr) *Advertisement {
	if a.VRID != m.cfg.VRID {
		return nil
	}
	switch m.state {
	case Backup:
		switch {
		case a.Priority == 0:
			m.timer = now + m.skew()
		case !m.cfg.Preempt || a.Priority >= m.cfg.Priority:
			m.interval = a.Interval
			m.timer = now + m.down()
		}
	case Active:
		switch {
		case a.Priority == 0:
			return m.becomeActive(now)
		case a.Priority > m.cfg.Priority || a.Priority == m.cfg.Priority && from.Compare(m.cfg.Primary) > 0:
			m.interval = a.Interval
			m.state, m.timer = Backup, now+m.down()
		default:
			// Asserts itself at once against the lower one; its own timer runs on.
			return m.advertise(m.cfg.Priority)
		}
	}
	return nil
}
