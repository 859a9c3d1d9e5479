package main

import (
	"bytes"
	"errors"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"testing"
)

// TestReportInForce_NamesRegions checks that a version that is in force in some regions only is not
// reported as in force everywhere, and that it ends the command with exitPartial.
func TestReportInForce_NamesRegions(t *testing.T) {
	for name, c := range map[string]struct {
		answer     *wire.Answer
		code       int
		text, json string
	}{
		"without regions":    {&wire.Answer{Number: 3}, exitOK, "version 3 is in force\n", `"in_force": true`},
		"all regions":        {&wire.Answer{Number: 3, InForce: []string{"este", "oeste"}}, exitOK, "version 3 is in force in 2 of 2 regions: este, oeste\n", `"apart": []`},
		"one of two regions": {&wire.Answer{Number: 3, InForce: []string{"oeste"}, Apart: []string{"este"}}, exitPartial, "version 3 is in force in 1 of 2 regions: oeste; not in este,", `"este"`},
		"no region":          {&wire.Answer{Number: 3, Apart: []string{"este", "oeste"}}, exitPartial, "version 3 is in force in 0 of 2 regions; not in este, oeste,", `"regions": []`},
	} {
		for output, want := range map[string]string{"text": c.text, "json": c.json} {
			var out bytes.Buffer
			err := (&cli{out: &out, output: output}).reportInForce(c.answer)
			code := exitOK
			if end := (*exitError)(nil); errors.As(err, &end) {
				code = end.code
			} else if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			if code != c.code || !strings.Contains(out.String(), want) || strings.Contains(out.String(), "everywhere") {
				t.Errorf("%s: exit code %d, output %s", name, code, out.String())
			}
		}
	}
}
