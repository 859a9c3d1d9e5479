package configuration

import "testing"

const fuzzDocument = `{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","type":"idempotent","timeoutMs":800,"trafficSplit":[{"service":"s","weight":90}]}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":9}}`

// FuzzParseDocument parses configurations of arbitrary bytes; those that are accepted make a table that requests can be looked up in.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(fuzzDocument), "h", "/a/b")
	f.Add([]byte(`{"version":1}`), "", "")
	f.Fuzz(func(t *testing.T, body []byte, host, path string) {
		document, err := Parse(body)
		if err != nil {
			return
		}
		table := NewTable(document)
		table.HasHost(host)
		if route := table.Find(host, path); route != nil {
			route.Targets()
		}
		table.DeploymentServices()
	})
}

// FuzzApplyPatch applies changes of arbitrary bytes to a configuration: an error, or a text that can be parsed or is refused.
func FuzzApplyPatch(f *testing.F) {
	f.Add([]byte(fuzzDocument), []byte(`{"version":9,"upsert":{"routes":[{"name":"r"}]},"remove":{"services":["s"]}}`))
	f.Add([]byte("null"), []byte("{}"))
	f.Fuzz(func(_ *testing.T, body, change []byte) {
		if patched, err := ApplyPatch(body, change); err == nil {
			_, _ = Parse(patched) // an error is an answer; a panic is not
		}
	})
}
