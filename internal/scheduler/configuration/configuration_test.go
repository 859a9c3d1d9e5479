package configuration

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// documentText is a valid document with two routes, the path prefix of one below that of the other.
const documentText = `{"version":7,"routes":[
 {"name":"r1","host":"h.example","pathPrefix":"/a/","type":"idempotent","timeoutMs":800,"service":"s1","maxAttempts":2},
 {"name":"r2","host":"h.example","pathPrefix":"/a/b/","type":"deployment","timeoutMs":800,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":0}]}],
 "services":[{"name":"s1","engine":{"models":[{"name":"m"}]}},{"name":"s2"}],"limits":{"maxBodyBytes":100},"extra":{"kept":true}}`

// A path is routed by the longest matching prefix of its host. Only targets with a weight above 0
// count as services of a deployment.
func TestTable_FindLongestPrefix(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(documentText))
	is.NoErr(err)
	table := NewTable(d)
	is.Equal(table.Find("h.example", "/a/x").Name, "r1")
	is.Equal(table.Find("h.example:80", "/a/b/x?q=/c/").Name, "r2")
	is.True(table.Find("h.example", "/other/") == nil)
	is.True(table.Find("other.example", "/a/") == nil)
	is.Equal(table.DeploymentServices(), []string{"s1"})
	is.Equal(table.ServicesWithModel("m"), []string{"s1"})
	is.True(!table.Find("h.example", "/a/b/").Allows("s2"))
}

// Inconsistent and malformed documents are rejected.
func TestParseConfiguration_Invalid(t *testing.T) {
	for name, text := range map[string]string{
		"truncated document":   documentText[:len(documentText)-20],
		"unknown service":      strings.Replace(documentText, `"service":"s1","maxAttempts"`, `"service":"s9","maxAttempts"`, 1),
		"same host and prefix": strings.Replace(documentText, `/a/b/`, `/a/`, 1),
		"no weight":            strings.Replace(documentText, `"weight":90`, `"weight":0`, 1),
		"no timeout":           strings.Replace(documentText, `"timeoutMs":800`, `"timeoutMs":0`, 1),
		"no version":           strings.Replace(documentText, `"version":7`, `"version":0`, 1),
		"trailing text":        documentText + "{}",
		"wrong type":           strings.Replace(documentText, `"version":7`, `"version":"7"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(text))
			is.True(err != nil)
		})
	}
}

// A patch replaces, adds and removes items by name, and keeps everything else.
func TestApplyPatch_NamedItems(t *testing.T) {
	is := is.New(t)
	body, err := ApplyPatch([]byte(documentText), []byte(`{"version":9,"upsert":{"routes":[{"name":"r3","host":"h.example","pathPrefix":"/c/","timeoutMs":1,"service":"s1"},
 {"name":"r1","host":"h.example","pathPrefix":"/a/","timeoutMs":5,"service":"s2"}]},"remove":{"routes":["r2","never"]}}`))
	is.NoErr(err)
	d, err := Parse(body)
	is.NoErr(err)
	is.Equal(d.Version, uint64(9))
	is.Equal(len(d.Routes), 2)
	is.Equal(d.Routes[0].Service, "s2")
	is.Equal(d.Routes[1].Name, "r3")
	is.True(strings.Contains(string(body), `"kept":true`)) // unknown keys are kept
	_, err = ApplyPatch([]byte(documentText), []byte(`{"version":9,"upsert":{"routes":[{"host":"x"}]}}`))
	is.True(err != nil)
}

// The buffer of a configuration's text may be reused, so a parsed document must not refer to it.
func TestParseConfiguration_DoesNotReferToInput(t *testing.T) {
	is := is.New(t)
	text := `{"version":3,"routes":[{"name":"r","host":"h.example","pathPrefix":"/p/","timeoutMs":5,"service":"s"}],"services":[{"name":"s","healthPath":"/healthz"}]}`
	buffer := []byte(text)
	document, err := Parse(buffer)
	is.NoErr(err)
	table := NewTable(document)
	for i := range buffer {
		buffer[i] = '#'
	}
	route := table.Find("h.example", "/p/x")
	is.True(route != nil && route.Service == "s" && route.Name == "r")
	is.Equal(table.Service("s").HealthPath, "/healthz")
}
