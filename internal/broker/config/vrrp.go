package config

import (
	"net"
	"net/netip"
	"saffronquay/internal/broker/vrrp"
)

// readVRRP reads the section vrrp.
func readVRRP(r reader) *VRRP {
	r.require("vrid", "priority", "listen", "peers", "service")
	v := &VRRP{Service: r.str("service", "")}
	r.hostPort("service", v.Service)
	v.Listen = r.addrPort("listen", r.str("listen", ""))
	vrid, priority, ms := r.integer("vrid", 0), r.integer("priority", 0), r.integer("interval_ms", 1000)
	if vrid < 1 || vrid > 255 {
		r.fault("vrid", "want 1 to 255, not %d", vrid)
	}
	if priority < 1 || priority > 255 {
		r.fault("priority", "want 1 to 255, not %d", priority)
	}
	if ms < 10 || ms > 40950 || ms%10 != 0 {
		r.fault("interval_ms", "want 10 to 40950 in steps of 10, not %d", ms)
	}
	for _, p := range r.array("peers") {
		v.Peers = append(v.Peers, p.addrPort("address", p.str("address", "")))
	}
	v.Router = vrrp.Config{
		VRID: byte(vrid), Priority: byte(priority), Interval: ms / 10,
		Preempt: !r.has("preempt") || r.boolean("preempt"), Primary: v.Listen.Addr(),
	}
	if host, _, err := net.SplitHostPort(v.Service); err == nil {
		ip, err := netip.ParseAddr(host)
		if err != nil || !ip.Is4() {
			r.fault("service", "want an IPv4 address, not %q", host)
		}
		v.Router.Addresses = []netip.Addr{ip}
	}
	return v
}
