package pagination

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
	_ "saffronquay/internal/testing/harness/steady"
)

const second = 1_000_000

func newTestRegistry() *Registry {
	return NewRegistry(Config{Key: []byte("k"), MaxOpen: 3, MaxKeepAlive: 60 * second, MaxAge: 100 * second})
}

func TestCursorLifetime(t *testing.T) {
	k := newTestRegistry()
	token, err := k.Open(5*second, "lagos", "invoices", 10*second, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, tenant, token string
		now, keep           int64
		want                error
	}{
		{"before expiry", "lagos", token, 14 * second, 0, nil},
		{"another tenant", "ferrer", token, 6 * second, 0, ErrInvalid},
		{"forged", "lagos", "AAAA", 6 * second, 0, ErrInvalid},
		{"damaged", "lagos", token[:len(token)-1] + "x", 6 * second, 0, ErrInvalid},
		{"keep_alive too long", "lagos", token, 6 * second, 61 * second, ErrKeepAlive},
		{"extended", "lagos", token, 14 * second, 50 * second, nil},
		{"extended, with the old token", "lagos", token, 63 * second, 60 * second, nil},
		{"older than MaxAge", "lagos", token, 105 * second, 0, ErrExpired},
	} {
		got, _, err := k.Use(c.now, c.tenant, c.token, c.keep)
		if !errors.Is(err, c.want) || err == nil && (got.At != 5*second || got.Index != "invoices") {
			t.Errorf("%s: %+v %v", c.name, got, err)
		}
	}
	if _, err := k.Open(0, "lagos", "i", 61*second, 1); !errors.Is(err, ErrKeepAlive) {
		t.Error(err)
	}
}

// TestRegistry_LimitsOpenCursors checks that a tenant has at most MaxOpen open cursors, that
// expired and closed ones do not count, and that a closed one retains its entry until it expires.
func TestRegistry_LimitsOpenCursors(t *testing.T) {
	k := newTestRegistry()
	var tokens []string
	for n := range uint64(3) {
		token, err := k.Open(0, "lagos", "i", 10*second, n)
		if err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, token)
	}
	if _, err := k.Open(0, "lagos", "i", second, 9); !errors.Is(err, ErrTooMany) {
		t.Errorf("cursor beyond MaxOpen: %v", err)
	}
	if _, err := k.Open(0, "ferrer", "i", second, 9); err != nil {
		t.Errorf("first cursor of another tenant: %v", err)
	}
	if open, err := k.Close(second, "lagos", tokens[0]); !open || err != nil {
		t.Error(open, err)
	}
	if _, _, err := k.Use(second, "lagos", tokens[0], 0); !errors.Is(err, ErrExpired) {
		t.Errorf("use of a closed cursor: %v", err)
	}
	again, err := k.Open(second, "lagos", "i", second, 11)
	if err != nil {
		t.Errorf("open after another was closed: %v", err)
	}
	if _, err := k.Close(second, "lagos", again); err != nil {
		t.Error(err)
	}
	if open, _ := k.Close(second, "ferrer", tokens[1]); open {
		t.Error("cursor closed by another tenant")
	}
	if _, err := k.Open(11*second, "lagos", "i", second, 10); err != nil {
		t.Errorf("open after two have expired: %v", err)
	}
	if n := k.CountOpen(11 * second); n != 1 {
		t.Errorf("%d open cursors, want 1", n)
	}
	if k.CountOpen(200 * second); len(k.tenants) != 0 {
		t.Errorf("entries after all cursors have expired: %v", k.tenants)
	}
}

// TestUse_TokenOfAnotherProcess checks that a process accepts the token of another one only if both
// have the same key.
func TestUse_TokenOfAnotherProcess(t *testing.T) {
	token, err := newTestRegistry().Open(0, "lagos", "i", second, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := newTestRegistry().Use(1, "lagos", token, 0); err != nil {
		t.Error(err)
	}
	other := NewRegistry(Config{Key: []byte("other"), MaxOpen: 3, MaxKeepAlive: second, MaxAge: second})
	if _, _, err := other.Use(1, "lagos", token, 0); !errors.Is(err, ErrInvalid) {
		t.Error(err)
	}
}

// TestUse_RejectsModifiedToken checks that a token with any modified byte is rejected.
func TestUse_RejectsModifiedToken(t *testing.T) {
	k := newTestRegistry()
	token, err := k.Open(0, "lagos", "invoices", 10*second, 1)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(token)
		i := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[i] = rapid.SampledFrom([]byte("ABCDEFabcdef0123456789-_!")).Draw(t, "byte")
		if string(b) == token {
			return
		}
		if _, _, err := k.Use(1, "lagos", string(b), 0); !errors.Is(err, ErrInvalid) {
			t.Fatalf("%s: %v", b, err)
		}
	})
}

func FuzzUse(f *testing.F) {
	k := newTestRegistry()
	token, _ := k.Open(0, "lagos", "invoices", 10*second, 1)
	f.Add(token)
	f.Fuzz(func(t *testing.T, text string) {
		if _, _, err := k.Use(1, "lagos", text, 0); err == nil && text != token {
			t.Errorf("token %q was accepted", text)
		}
	})
}
