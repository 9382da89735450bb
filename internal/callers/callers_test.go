package callers

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"

	"linenloom/internal/identity"
	"linenloom/internal/operator"
)

// keySet is a set with one new key of that id, and a token by it.
func keySet(t *testing.T, id string) (text []byte, token string) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if text, err = json.Marshal(jose.JSONWebKeySet{Keys: []jose.JSONWebKey{{Key: public, KeyID: id}}}); err != nil {
		t.Fatal(err)
	}
	by, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.EdDSA, Key: private}, (&jose.SignerOptions{}).WithHeader("kid", id))
	if err != nil {
		t.Fatal(err)
	}
	claims, _ := json.Marshal(map[string]any{"iss": "i", "aud": "a", "tenant": "shop", "jti": "one", "exp": time.Now().Add(time.Minute).Unix()})
	sig, err := by.Sign(claims)
	if err != nil {
		t.Fatal(err)
	}
	if token, err = sig.CompactSerialize(); err != nil {
		t.Fatal(err)
	}
	return text, token
}

func settings(file string) *operator.Identity {
	return &operator.Identity{KeySetFile: file, Issuer: "i", Audience: "a", TenantClaim: "tenant", TokenAttribute: "tk", MaxLifetime: operator.Duration(time.Hour),
		TokenCacheSize: 8, ChecksPerSecond: 100, MaxReplayIDs: 8, Tenants: []operator.Tenant{{Name: "shop"}}}
}

// Whatever becomes of the key file, the keys in force stay until another set can be read; each fault is logged once, with the file and
// what is wrong, and no token is ever logged.
func TestKeyFileFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.json")
	text, token := keySet(t, "k1")
	write := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	var log bytes.Buffer
	g, err := New(settings(file), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(){
		"emptied":   func() { write(nil) },
		"cut":       func() { write(text[:len(text)/2]) },
		"too long":  func() { write(make([]byte, maxFile+1)) },
		"removed":   func() { os.Remove(file) },
		"a folder":  func() { os.Remove(file); os.Mkdir(file, 0o700) },
		"no JSON":   func() { os.Remove(file); write([]byte("keys: []")) },
		"no key":    func() { write([]byte(`{"keys":[]}`)) },
		"a private": func() { write([]byte(`{"keys":[{"kty":"oct","kid":"x","k":"AAAA"}]}`)) },
	} {
		log.Reset()
		spoil()
		for range 3 {
			g.Look()
		}
		if _, err := g.Prove([]byte(token), netip.Addr{}, false); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "old keys stay in force") || !strings.Contains(got, file) {
			t.Errorf("%s: logged %q", name, got)
		}
		os.RemoveAll(file)
		write(text)
		if g.Look(); strings.Contains(log.String(), token) {
			t.Errorf("%s: the token is logged", name)
		}
	}
	other, newToken := keySet(t, "k1") // another key under the same id
	write(other)
	g.Look()
	if _, err := g.Prove([]byte(token), netip.Addr{}, false); identity.ReasonOf(err) != identity.KeyRetired {
		t.Errorf("by the key before: %v", err)
	}
	if _, err := g.Prove([]byte(newToken), netip.Addr{}, false); err != nil {
		t.Errorf("by the new key: %v", err)
	}
}

// Without keys that can be read there is nothing to begin with.
func TestNoKeysNoGate(t *testing.T) {
	_, err := New(settings(filepath.Join(t.TempDir(), "none")), slog.New(slog.DiscardHandler))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v", err)
	}
}

// An order uses its token's id, keeps it over a reload of the rights, and has it back if it surely has not run.
func TestOrdersUseTheirToken(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.json")
	text, token := keySet(t, "k1")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	g, err := New(settings(file), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	p, err := g.Prove([]byte(token), netip.Addr{}, false)
	if err != nil {
		t.Fatal(err)
	}
	order := identity.Request{Class: "order", Write: true, AtMostOnce: true}
	for i, want := range []identity.Reason{0, identity.Replayed, 0, identity.Replayed, identity.NoRight} {
		switch i {
		case 2:
			g.Release(p)
		case 3:
			g.Reload(settings(file))
		case 4:
			none := settings(file)
			none.Tenants[0].Name = "else"
			g.Reload(none)
		}
		if err := g.May(p, order); identity.ReasonOf(err) != want {
			t.Errorf("step %d: %v, want %v", i, err, want)
		}
	}
	if err := g.May(nil, order); identity.ReasonOf(err) != identity.NoCredentials {
		t.Errorf("without a proof: %v", err)
	}
}
