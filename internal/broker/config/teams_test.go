package config_test

import (
	"encoding/json"
	"fmt"
	"os"
	"saffronquay/internal/broker/config"
	"testing"
	"time"
)

// The time to parse a file with 10,000 teams grows about linearly with their number, not quadratically.
func TestParseOperator_ManyTeams(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/rollout.json")
	if err != nil {
		t.Fatal(err)
	}
	took := func(n int) time.Duration {
		var file map[string]any
		if err := json.Unmarshal(text, &file); err != nil {
			t.Fatal(err)
		}
		var tenants, teams []any
		for i := range n {
			name := fmt.Sprintf("team-%05d", i)
			tenants, teams = append(tenants, map[string]any{"name": name, "quota_per_s": 1}), append(teams, map[string]any{"name": name, "weight": 1})
		}
		file["tenants"], file["contracts"] = tenants, map[string]any{"cores": 8, "teams": teams}
		big, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		least := time.Hour
		for range 3 {
			began := time.Now()
			if _, err := config.ParseOperator(big); err != nil {
				t.Fatal(err)
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	few, many := took(1000), took(10_000)
	if t.Logf("1,000 teams in %s, 10,000 in %s", few, many); many > 30*few { // a quadratic check took 47 times as long
		t.Errorf("1,000 teams in %s, 10,000 in %s", few, many)
	}
}
