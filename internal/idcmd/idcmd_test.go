package idcmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestRotation creates a key, signs with it, rotates it away and lets it end. The commands and package
// identity have to agree at each step.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	now := time.Unix(1_800_000_000, 0)
	call := func(want int, in, command string, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if got := run(command, args, strings.NewReader(in), &out, &errs, func() time.Time { return now }); got != want {
			t.Fatalf("%s %v: status %d, want %d: %s", command, args, got, want, errs.String())
		}
		return out.String() + errs.String()
	}
	has := func(text string, want ...string) {
		t.Helper()
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("%q lacks %q", text, w)
			}
		}
	}
	call(0, "", "keys", "rotate", "-keys", at("keys"), "-private", at("one"), "-after", "0s")
	if s, err := os.Stat(at("one")); err != nil || s.Mode().Perm() != 0o600 {
		t.Errorf("the private key: %v, %v", s.Mode(), err)
	}
	if text, _ := os.ReadFile(at("keys")); bytes.Contains(text, []byte(`"d"`)) {
		t.Error("the key set holds a private key")
	}
	sign := func(key string) string {
		return call(0, "", "token", "sign", "-key", at(key), "-issuer", "i", "-audience", "a", "-tenant", "kiosk", "-jti", "x")
	}
	token := sign("one")
	has(call(0, token, "token", "inspect", "-keys", at("keys")), `"tenant": "kiosk"`, "active", "in 10m0s")

	now = now.Add(time.Hour)
	call(0, "", "keys", "rotate", "-keys", at("keys"), "-private", at("two"), "-alg", "ES256", "-overlap", "1h")
	has(call(0, "", "keys", "list", "-keys", at("keys")), "EdDSA  active", "ES256  coming")
	token = sign("two")
	has(call(1, token, "token", "inspect", "-keys", at("keys")), "its key is coming")
	now = now.Add(time.Minute)
	has(call(0, token, "token", "inspect", "-keys", at("keys")), "active")
	now = now.Add(time.Hour)
	has(call(1, sign("one"), "token", "inspect", "-keys", at("keys")), "its key is retired")

	now = now.Add(48 * time.Hour)
	has(call(0, "", "keys", "rotate", "-keys", at("keys"), "-private", at("three"), "-alg", "RS256"), "left out")
	if out := call(0, "", "keys", "list", "-keys", at("keys")); strings.Count(out, "\n") != 2 {
		t.Errorf("%q", out)
	}

	now = now.Add(time.Second)
	before, _ := os.ReadFile(at("keys"))
	has(call(1, "", "keys", "rotate", "-keys", at("keys"), "-private", at("three")), "exists")
	has(call(1, "", "keys", "rotate", "-keys", at("keys"), "-private", at("four"), "-alg", "none"), "-alg")
	if after, _ := os.ReadFile(at("keys")); !bytes.Equal(before, after) {
		t.Error("a rotation that failed has changed the key set")
	}
	has(call(1, "no token", "token", "inspect"), "no token")
	has(call(1, "", "token", "sign", "-key", at("one")), "-issuer is missing")
	call(2, "", "token", "forge")
}
