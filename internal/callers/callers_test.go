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

// newKeySet returns a key set with one new key of this id, and a token signed by it.
func newKeySet(t *testing.T, id string) (text []byte, token string) {
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

func testSettings(file string) *operator.Identity {
	return &operator.Identity{KeySetFile: file, Issuer: "i", Audience: "a", TenantClaim: "tenant", TokenAttribute: "tk", MaxLifetime: operator.Duration(time.Hour),
		TokenCacheSize: 8, ChecksPerSecond: 100, MaxReplayIDs: 8, Tenants: []operator.Tenant{{Name: "shop"}}}
}

// Whatever happens to the key file, the keys in force stay until another set can be read. Each error is
// logged once, with the file and the reason, and no token is ever logged.
func TestKeyFileFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.json")
	text, token := newKeySet(t, "k1")
	write := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	var log bytes.Buffer
	authenticator, err := New(testSettings(file), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func(){
		"emptied":   func() { write(nil) },
		"cut":       func() { write(text[:len(text)/2]) },
		"too long":  func() { write(make([]byte, maxFileBytes+1)) },
		"removed":   func() { os.Remove(file) },
		"a folder":  func() { os.Remove(file); os.Mkdir(file, 0o700) },
		"no JSON":   func() { os.Remove(file); write([]byte("keys: []")) },
		"no key":    func() { write([]byte(`{"keys":[]}`)) },
		"a private": func() { write([]byte(`{"keys":[{"kty":"oct","kid":"x","k":"AAAA"}]}`)) },
	} {
		log.Reset()
		damage()
		for range 3 {
			authenticator.ReloadFiles()
		}
		if _, err := authenticator.VerifyToken([]byte(token), netip.Addr{}, false); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "old keys stay in force") || !strings.Contains(got, file) {
			t.Errorf("%s: logged %q", name, got)
		}
		os.RemoveAll(file)
		write(text)
		if authenticator.ReloadFiles(); strings.Contains(log.String(), token) {
			t.Errorf("%s: the token is logged", name)
		}
	}
	other, newToken := newKeySet(t, "k1") // another key under the same id
	write(other)
	authenticator.ReloadFiles()
	if _, err := authenticator.VerifyToken([]byte(token), netip.Addr{}, false); identity.ReasonOf(err) != identity.KeyRetired {
		t.Errorf("by the key before: %v", err)
	}
	if _, err := authenticator.VerifyToken([]byte(newToken), netip.Addr{}, false); err != nil {
		t.Errorf("by the new key: %v", err)
	}
}

// Without readable keys New fails.
func TestNewFailsWithoutReadableKeys(t *testing.T) {
	_, err := New(testSettings(filepath.Join(t.TempDir(), "none")), slog.New(slog.DiscardHandler))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v", err)
	}
}

// An order consumes its token's id, keeps it over a reload of the rights, and gives it back if it is known
// not to have run.
func TestOrderConsumesItsToken(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.json")
	text, token := newKeySet(t, "k1")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	authenticator, err := New(testSettings(file), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	proof, err := authenticator.VerifyToken([]byte(token), netip.Addr{}, false)
	if err != nil {
		t.Fatal(err)
	}
	order := identity.Request{Class: "order", Write: true, AtMostOnce: true}
	for i, want := range []identity.Reason{0, identity.Replayed, 0, identity.Replayed, identity.NoRight} {
		switch i {
		case 2:
			authenticator.Release(proof)
		case 3:
			authenticator.Reload(testSettings(file))
		case 4:
			otherTenant := testSettings(file)
			otherTenant.Tenants[0].Name = "else"
			authenticator.Reload(otherTenant)
		}
		if err := authenticator.Authorize(proof, order); identity.ReasonOf(err) != want {
			t.Errorf("step %d: %v, want %v", i, err, want)
		}
	}
	if err := authenticator.Authorize(nil, order); identity.ReasonOf(err) != identity.NoCredentials {
		t.Errorf("without a proof: %v", err)
	}
}
