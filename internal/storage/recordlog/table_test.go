package recordlog

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
	_ "saffronquay/internal/testing/harness/steady"
)

// The table has the same entries as a map, even if many hashes share a home slot.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x table
		want := map[uint64]ref{}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		shards := rapid.SampledFrom([]int{1, 2, 256}).Draw(t, "shards")
		keys := rapid.SampledFrom([]int{20, 300, 3000}).Draw(t, "keys")
		for i := range 4000 {
			k := uint64(rng.IntN(keys))
			hash := mix(k)>>8 | uint64(rng.IntN(shards)*0+int(k)%shards)<<56
			if keys == 20 {
				hash &^= 0x00ffff0000000000 // make the keys collide
			}
			if rng.IntN(3) > 0 {
				if before := x.set(hash, ref(i+1)); before != want[hash] {
					t.Fatalf("%x: replaced %d, want %d", hash, before, want[hash])
				}
				want[hash] = ref(i + 1)
			} else {
				x.drop(hash)
				delete(want, hash)
			}
			if at, ok := x.get(hash); at != want[hash] || ok != (want[hash] != 0) {
				t.Fatalf("%x: %d %t, want %d", hash, at, ok, want[hash])
			}
		}
		for hash, at := range want {
			if got, _ := x.get(hash); got != at {
				t.Fatalf("%x: %d, want %d", hash, got, at)
			}
			x.drop(hash)
		}
		if x.n != 0 {
			t.Fatalf("%d entries left after dropping all", x.n)
		}
		for i := range x.shards {
			for _, s := range x.shards[i].slots {
				if s.at != 0 {
					t.Fatal("a slot is in use after dropping all entries")
				}
			}
		}
	})
}
