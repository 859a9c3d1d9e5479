package worker

import (
	"testing"

	"github.com/matryer/is"
)

func TestSetHeader(t *testing.T) {
	model, set := Header{Name: "Model", Value: "m"}, Header{Name: "Last-Event-Id", Value: "32"}
	for name, headers := range map[string][]Header{
		"added":                              {model},
		"replaced":                           {{Name: "Last-Event-Id", Value: "29"}, model},
		"in another case and more than once": {{Name: "last-event-id", Value: "29"}, model, {Name: "LAST-EVENT-ID", Value: "30"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := append([]Header(nil), headers...)
			is.Equal(SetHeader(headers, "Last-Event-Id", "32"), []Header{model, set})
			is.Equal(headers, before) // not modified
		})
	}
}

func TestIsReserved(t *testing.T) {
	for name, want := range map[string]bool{
		"Request-Id": true, "expect-instance": true, "Transfer-Encoding": true, "Content-Length": true, "Priority": true,
		"Model": false, "Last-Event-Id": false, "Token-Usage": false,
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(IsReserved(name), want) })
	}
}
