package golden

import (
	"go/ast"
	"path"
	"regexp"
	"saffronquay/internal/broker/adminapi"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// The metrics of the rollout scheduler, by their names in the sources: the literals of the
// package that creates them (the wrapper of VictoriaMetrics, found by its imports) and of calls
// and composite literals of that package elsewhere.
func TestMetricNames(t *testing.T) {
	list := sources(t)
	metricsPackage := metricsFolder(t, list)
	found := names{}
	for _, s := range list {
		if s.folder == metricsPackage {
			ast.Inspect(s.file, func(n ast.Node) bool {
				switch x := n.(type) {
				case *ast.ImportSpec:
					return false
				case *ast.BasicLit:
					if name, ok := literal(x); ok && metricName.MatchString(name) {
						found.add("of the package itself: %s", name)
					}
				}
				return true
			})
			continue
		}
		if local := importedAs(s.file, "saffronquay/"+metricsPackage); local != "" {
			ast.Inspect(s.file, func(n ast.Node) bool { metricsAt(found, n, local); return true })
		}
	}
	compare(t, "metrics.txt", found.text(false))
}

var metricName = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]*)*$`)

const victoria = "github.com/VictoriaMetrics/metrics"

// metricsFolder returns the folder of the package that creates the metrics: the one that gets
// counters from the library by name.
func metricsFolder(t *testing.T, list []source) (folder string) {
	t.Helper()
	for _, s := range list {
		local := importedAs(s.file, victoria)
		if local == "" {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			if x, ok := n.(*ast.SelectorExpr); ok && x.Sel.Name == "GetOrCreateCounter" && isFrom(x, local) {
				folder = s.folder
			}
			return true
		})
	}
	is.New(t).True(folder != "")
	return folder
}

// importedAs returns the local name of an imported package in a file, or "" if the file does not
// import it.
func importedAs(file *ast.File, of string) string {
	for _, spec := range file.Imports {
		if value, _ := strconv.Unquote(spec.Path.Value); value == of {
			if spec.Name != nil {
				return spec.Name.Name
			}
			return path.Base(of)
		}
	}
	return ""
}

// isFrom reports whether an expression selects a name from a package.
func isFrom(e ast.Expr, local string) bool {
	x, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	of, ok := x.X.(*ast.Ident)
	return ok && of.Name == local
}

// metricsAt adds the names of metrics and labels at a node: the first literals of calls and
// composite literals of the metrics package.
func metricsAt(found names, n ast.Node, local string) {
	switch x := n.(type) {
	case *ast.CallExpr:
		if isFrom(x.Fun, local) && len(x.Args) > 0 {
			if name, ok := leading(x.Args[0]); ok {
				found.add("figure %s", name)
			}
		}
	case *ast.CompositeLit:
		if isFrom(x.Type, local) {
			labelAt(found, x)
		}
		if list, ok := x.Type.(*ast.ArrayType); ok && isFrom(list.Elt, local) {
			for _, element := range x.Elts {
				if label, ok := element.(*ast.CompositeLit); ok {
					labelAt(found, label)
				}
			}
		}
	}
}

// labelAt adds a label's name, and its value if that is a literal.
func labelAt(found names, x *ast.CompositeLit) {
	line := "label"
	for _, element := range x.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			element = pair.Value
		}
		if value, ok := leading(element); ok {
			line += " " + value
		}
	}
	found.add("%s", line)
}

// leading returns the value of a string literal, or of the literal at the start of a
// concatenation.
func leading(e ast.Expr) (string, bool) {
	if sum, ok := e.(*ast.BinaryExpr); ok {
		name, ok := leading(sum.X)
		return name + "...", ok
	}
	return literal(e)
}

// The metrics of the broker, each with a distinct value.
func TestBrokerMetrics(t *testing.T) {
	f := adminapi.NewMetrics()
	f.LayoutCounts = &adminapi.LayoutMetrics{}
	f.Cursors = func() int { return 11 }
	f.Store = func() adminapi.StoreMetrics {
		return adminapi.StoreMetrics{Bytes: 21, Keys: 22, OpenQueries: 23, LostSpans: 24, Failing: 25, Appends: 26, Syncs: 27, Failed: 28, CleanedSegments: 29}
	}
	f.Fleet = func() adminapi.FleetMetrics {
		return adminapi.FleetMetrics{
			Alive: 31, EffectiveSize: 32, Suspected: 33, Dead: 34, HealthScore: 35, NameConflict: 36, Sent: 37, Received: 38, Dropped: 39, Bytes: 40, Exchanges: 41,
			FailedProbes: 42, Suspicions: 43, Refutations: 44, Deaths: 45, Stalls: 46, DroppedByLimit: 47, Traffic: traffic(50),
		}
	}
	f.Rollout = func() adminapi.RolloutMetrics {
		return adminapi.RolloutMetrics{
			Number: 61, Admits: 62, Paused: 63, LeaseMs: 64, Leads: 65,
			Region: &adminapi.RegionMetrics{Behind: 66, IsolatedMs: 67, Leads: 68}, Traffic: traffic(70),
		}
	}
	f.Relayed.Store(1)
	f.OpenRequests.Store(2)
	f.KnownServers.Store(3)
	f.EjectedServers.Store(4)
	f.ConfigAccepted.Store(5)
	f.ConfigRejected.Store(6)
	f.LayoutCounts.Epoch.Store(81)
	f.LayoutCounts.Ranges.Store(82)
	f.LayoutCounts.Changes.Store(83)
	f.LayoutCounts.Stalled.Store(84)
	f.LayoutCounts.Accepted.Store(85)
	f.LayoutCounts.Rejected.Store(86)
	f.LayoutCounts.Replanned.Store(87)
	f.LayoutCounts.Misplaced.Store(88)
	f.RegisterClasses("known")
	for _, status := range []int{200, 400, 404, 408, 429, 499, 500, 503, 504} {
		f.CountAnswer("known", status)
	}
	compare(t, "figures.txt", string(f.Stats(nil)))
}

func traffic(from int64) adminapi.TrafficMetrics {
	return adminapi.TrafficMetrics{Sent: from, Received: from + 1, SentBytes: from + 2, ReceivedBytes: from + 3, QuotaBytes: from + 4, Links: from + 5}
}
