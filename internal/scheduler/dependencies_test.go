// Package scheduler holds tests that concern the whole of the system's program.
package scheduler

import (
	"os/exec"
	"strings"
	"testing"
)

// Clustering, discovery, membership, agreement, replication and proxying are the project's own: no library for them may be in the program.
func TestNoLibraryAgreesOrProxies(t *testing.T) {
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
				t.Errorf("the system's program is made with %s", name)
			}
		}
	}
}
