// Package scheduler has tests of the complete program saffronquay-system.
package scheduler

import (
	"os/exec"
	"strings"
	"testing"
)

// The project implements clustering, discovery, membership, consensus, replication and proxying itself:
// the program must not depend on libraries for them.
func TestDependencies_NoConsensusOrProxyLibraries(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "saffronquay/cmd/saffronquay-system").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, name := range strings.Fields(string(out)) {
		for _, word := range []string{
			"raft", "etcd", "memberlist", "serf", "consul", "zookeeper", "paxos", "net/http/httputil", "olric", "rqlite", "nats", "valyala/fasthttp/reuseport",
			"saffronquay/internal/cluster/rollout", "saffronquay/internal/cluster/peering",
		} {
			if strings.Contains(name, word) {
				t.Errorf("saffronquay-system depends on %s", name)
			}
		}
	}
}
