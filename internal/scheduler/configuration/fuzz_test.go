package configuration

import "testing"

const fuzzDocument = `{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","type":"idempotent","timeoutMs":800,"trafficSplit":[{"service":"s","weight":90}]}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":9}}`

// FuzzParseDocument parses configurations of arbitrary bytes. Lookups in the table of an accepted one
// must not panic.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(fuzzDocument), "h", "/a/b")
	f.Add([]byte(`{"version":1}`), "", "")
	f.Fuzz(func(t *testing.T, body []byte, host, path string) {
		document, err := Parse(body)
		if err != nil {
			return
		}
		table := NewTable(document)
		if route := table.Find(host, path); route != nil {
			route.Targets()
		}
		table.DeploymentServices()
	})
}

// FuzzApplyPatch applies patches of arbitrary bytes to a configuration. Neither ApplyPatch nor Parse
// of its result may panic.
func FuzzApplyPatch(f *testing.F) {
	f.Add([]byte(fuzzDocument), []byte(`{"version":9,"upsert":{"routes":[{"name":"r"}]},"remove":{"services":["s"]}}`))
	f.Add([]byte("null"), []byte("{}"))
	f.Fuzz(func(_ *testing.T, body, change []byte) {
		if patched, err := ApplyPatch(body, change); err == nil {
			_, _ = Parse(patched) // may return an error, must not panic
		}
	})
}
