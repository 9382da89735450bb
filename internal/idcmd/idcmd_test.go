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
	inDir := func(name string) string { return filepath.Join(dir, name) }
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
	call(0, "", "keys", "rotate", "-keys", inDir("keys"), "-private", inDir("one"), "-after", "0s")
	if s, err := os.Stat(inDir("one")); err != nil || s.Mode().Perm() != 0o600 {
		t.Errorf("the private key: %v, %v", s.Mode(), err)
	}
	if text, _ := os.ReadFile(inDir("keys")); bytes.Contains(text, []byte(`"d"`)) {
		t.Error("the key set holds a private key")
	}
	sign := func(key string) string {
		return call(0, "", "token", "sign", "-key", inDir(key), "-issuer", "i", "-audience", "a", "-tenant", "kiosk", "-jti", "x")
	}
	token := sign("one")
	has(call(0, token, "token", "inspect", "-keys", inDir("keys")), `"tenant": "kiosk"`, "active", "in 10m0s")

	now = now.Add(time.Hour)
	call(0, "", "keys", "rotate", "-keys", inDir("keys"), "-private", inDir("two"), "-alg", "ES256", "-overlap", "1h")
	has(call(0, "", "keys", "list", "-keys", inDir("keys")), "EdDSA  active", "ES256  coming")
	token = sign("two")
	has(call(1, token, "token", "inspect", "-keys", inDir("keys")), "its key is coming")
	now = now.Add(time.Minute)
	has(call(0, token, "token", "inspect", "-keys", inDir("keys")), "active")
	now = now.Add(time.Hour)
	has(call(1, sign("one"), "token", "inspect", "-keys", inDir("keys")), "its key is retired")

	now = now.Add(48 * time.Hour)
	has(call(0, "", "keys", "rotate", "-keys", inDir("keys"), "-private", inDir("three"), "-alg", "RS256"), "left out")
	if out := call(0, "", "keys", "list", "-keys", inDir("keys")); strings.Count(out, "\n") != 2 {
		t.Errorf("%q", out)
	}

	now = now.Add(time.Second)
	before, _ := os.ReadFile(inDir("keys"))
	has(call(1, "", "keys", "rotate", "-keys", inDir("keys"), "-private", inDir("three")), "exists")
	has(call(1, "", "keys", "rotate", "-keys", inDir("keys"), "-private", inDir("four"), "-alg", "none"), "-alg")
	if after, _ := os.ReadFile(inDir("keys")); !bytes.Equal(before, after) {
		t.Error("a rotation that failed has changed the key set")
	}
	has(call(1, "no token", "token", "inspect"), "no token")
	has(call(1, "", "token", "sign", "-key", inDir("one")), "-issuer is missing")
	call(2, "", "token", "forge")
}
