// Package callers runs package identity in a process: it loads the key file, reloads it when it changes,
// and authenticates and authorizes callers of many connections concurrently. The decisions are those of
// package identity.
//
// Tokens are never logged, and a key file is applied completely or not at all: if it cannot be read, the
// previous keys stay in force.
package callers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/operator"
)

// reloadInterval is how often the key file is checked. A key that is removed from the file is refused at
// most this long after the file was replaced; a key that is retired by its own time is refused from that
// time on.
const reloadInterval = time.Second

const maxFileBytes = 256 << 10

// Authenticator authenticates callers and decides what they may do.
type Authenticator struct {
	keyFile   string
	tokenName string
	log       *slog.Logger
	now       func() time.Time

	keys        atomic.Pointer[identity.Keys] // in force
	verifierMu  sync.Mutex                    // guards verifier; a check takes about 100 us
	verifier    *identity.Verifier            // nil: tokens are not accepted
	listenerTLS *tlsState                     // nil: listeners use no TLS

	rightsMu sync.Mutex // guards policy, replays and sources; held only for look-ups
	policy   *identity.Policy
	replays  identity.Replays
	sources  identity.Sources

	rules     []identity.CertRule // guarded by filesMu, like keyText and lastFault
	filesMu   sync.Mutex          // guards the fields below and rules
	keyText   []byte              // contents of the key file in force
	lastFault string              // the error logged last
}

// New loads the keys. It fails if they cannot be read.
func New(cfg *operator.Identity, log *slog.Logger) (*Authenticator, error) {
	authenticator := &Authenticator{keyFile: cfg.Keys, tokenName: cfg.Name, log: log, now: time.Now, policy: identity.NewPolicy(cfg.Rights(), nil),
		replays: identity.Replays{Most: cfg.Replays}, sources: identity.Sources{Most: cfg.Suspects}, rules: cfg.Rules()}
	if cfg.TLS.Set() {
		var err error
		if authenticator.listenerTLS, err = newTLSState(cfg, log, authenticator.now); err != nil {
			return nil, err
		}
	}
	if !cfg.ByTokens() {
		return authenticator, nil
	}
	text, err := readFile(authenticator.keyFile)
	if err != nil {
		return nil, err
	}
	keys, err := identity.ParseKeys(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", authenticator.keyFile, err)
	}
	authenticator.keyText = text
	authenticator.keys.Store(keys)
	authenticator.verifier = identity.NewVerifier(cfg.Terms(), keys)
	authenticator.log.Info("callers are authenticated by tokens", "keys", len(keys.List), "tenants", len(cfg.Tenants))
	return authenticator, nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = errors.New("too long")
	}
	if err != nil {
		return nil, fmt.Errorf("key file: %s: %w", path, err)
	}
	return text, nil
}

// Run checks the key file periodically until the context ends.
func (g *Authenticator) Run(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.ReloadFiles()
		}
	}
}

// ReloadFiles reads the key file and the TLS files, and applies those that have changed and are valid.
func (g *Authenticator) ReloadFiles() {
	g.filesMu.Lock()
	defer g.filesMu.Unlock()
	if g.listenerTLS != nil {
		g.listenerTLS.reload(g.rules)
	}
	if g.verifier != nil {
		g.reloadKeys()
	}
}

func (g *Authenticator) reloadKeys() {
	text, err := readFile(g.keyFile)
	if err == nil && bytes.Equal(text, g.keyText) {
		if g.lastFault != "" {
			g.log.Info("key file has its earlier contents again", "file", g.keyFile)
			g.lastFault = ""
		}
		return
	}
	var keys *identity.Keys
	if err == nil {
		keys, err = identity.ParseKeys(text)
	}
	if err != nil {
		if g.lastFault != err.Error() { // logged once for each error, not every second
			g.log.Error("key file is unusable, the old keys stay in force", "file", g.keyFile, "err", err)
		}
		g.lastFault = err.Error()
		return
	}
	// From here on no proof by a key outside the new set is valid; the verifier is updated afterwards.
	g.keys.Store(keys)
	g.verifierMu.Lock()
	g.verifier.SetKeys(keys)
	g.verifierMu.Unlock()
	g.keyText, g.lastFault = text, ""
	var ids []string
	for _, k := range keys.List {
		ids = append(ids, k.ID+" "+k.Phase(g.now()).String())
	}
	g.log.Info("keys in force", "file", g.keyFile, "keys", ids)
}

// Reload applies the tenants' rights and checks the files.
func (g *Authenticator) Reload(cfg *operator.Identity) {
	g.rightsMu.Lock()
	g.policy = identity.NewPolicy(cfg.Rights(), g.policy)
	g.rightsMu.Unlock()
	g.filesMu.Lock()
	if g.rules = cfg.Rules(); g.listenerTLS != nil {
		g.listenerTLS.setRules(g.rules)
	}
	g.filesMu.Unlock()
	g.ReloadFiles()
}

// Name returns the attribute name under which requests carry a token.
func (g *Authenticator) Name() string { return g.tokenName }

// Prove verifies a token that came from an address. It may take about 100 us and must not be called under a
// contended lock. suspect says that the token's connection has sent an invalid token before; the address
// may be known for one too.
func (g *Authenticator) Prove(token []byte, from netip.Addr, suspect bool) (*identity.Proof, error) {
	if g.verifier == nil {
		return nil, &identity.Error{Why: identity.Forbidden, What: "no tokens are taken here"}
	}
	if !suspect {
		g.rightsMu.Lock()
		suspect = g.sources.Suspect(g.now(), from)
		g.rightsMu.Unlock()
	}
	g.verifierMu.Lock()
	proof, err := g.verifier.Check(g.now(), token, suspect)
	g.verifierMu.Unlock()
	if identity.WhyOf(err) == identity.Forged { // all other errors are found before the signature is checked
		g.rightsMu.Lock()
		g.sources.Bad(g.now(), from)
		g.rightsMu.Unlock()
	}
	return proof, err
}

// Holds reports whether a proof is still valid. It does not block.
func (g *Authenticator) Holds(p *identity.Proof) error {
	if p.ByCertificate() && g.listenerTLS != nil {
		return g.listenerTLS.certs.Load().Holds(g.now(), p)
	}
	return g.keys.Load().Holds(g.now(), p)
}

// May reports whether the holder of a proof may make a request now. An order consumes its token's id.
func (g *Authenticator) May(p *identity.Proof, request identity.Ask) error {
	if p == nil {
		return &identity.Error{Why: identity.Unproven}
	}
	if err := g.Holds(p); err != nil {
		return err
	}
	g.rightsMu.Lock()
	defer g.rightsMu.Unlock()
	if err := g.policy.May(g.now(), p.Tenant, request); err != nil {
		return err
	}
	if request.Once {
		return g.replays.Use(g.now(), p)
	}
	return nil
}

// Release makes the id of a token usable again if its order is known not to have run.
func (g *Authenticator) Release(p *identity.Proof) {
	g.rightsMu.Lock()
	defer g.rightsMu.Unlock()
	g.replays.Release(p)
}
