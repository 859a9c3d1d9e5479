package server

import "testing"

// Of up to 1,024 descriptors, servers get a third, 192 at most. All descriptors beyond 1,024 go to
// servers, and the limits for clients stay the same.
func TestListenerConfig_SplitsDescriptors(t *testing.T) {
	for _, c := range []struct{ sockets, servers, clients, enough int }{
		{192, 64, 96, 48},
		{576, 192, 352, 144},
		{1024, 192, 800, 256},
		{1025, 193, 800, 256},
		{4096, 3264, 800, 256},
		{8192, 7360, 800, 256},
	} {
		g := &Gatherer{Plan: Plan{maxSockets: c.sockets}}
		b := g.listenerConfig()
		if got := g.maxServerConns(); got != c.servers || b.MaxConns != c.clients || b.MaxKeepAlive != c.enough {
			t.Errorf("%d descriptors: %d for servers, %d for clients, %d kept alive; want %d, %d, %d", c.sockets, got, b.MaxConns, b.MaxKeepAlive, c.servers,
				c.clients, c.enough)
		}
	}
}
