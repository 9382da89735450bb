// Package callers puts package identity to work in a process: it reads the key file, looks whether it has changed, and answers for
// many connections at once. What it answers is decided by package identity.
//
// It never logs a token, and never goes on with half a key file: a set that can't be read leaves the one before in force.
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

// reloadInterval is how often the key file is looked at. A key that is retired by its file is refused so long after the file was
// replaced at the most; one that is retired by its own moment, from that moment on.
const reloadInterval = time.Second

const maxFileBytes = 256 << 10

// Authenticator tells who callers are and what they may do.
type Authenticator struct {
	keyFile   string
	tokenName string
	log       *slog.Logger
	now       func() time.Time

	keys        atomic.Pointer[identity.Keys] // in force
	verifierMu  sync.Mutex                    // of the verifier: a check takes some 100 us
	verifier    *identity.Verifier            // nil: no tokens are taken
	listenerTLS *tlsState                     // nil: listeners speak plainly

	rightsMu sync.Mutex // of what follows: held for a look only
	policy   *identity.Policy
	replays  identity.Replays
	sources  identity.Sources

	rules     []identity.CertRule // under files, like what follows
	filesMu   sync.Mutex          // of what follows
	keyText   []byte              // of the keys in force
	lastFault string              // as last logged
}

// New reads the keys. Without a set that can be read it does not begin.
func New(cfg *operator.Identity, log *slog.Logger) (*Authenticator, error) {
	g := &Authenticator{keyFile: cfg.Keys, tokenName: cfg.Name, log: log, now: time.Now, policy: identity.NewPolicy(cfg.Rights(), nil),
		replays: identity.Replays{Most: cfg.Replays}, sources: identity.Sources{Most: cfg.Suspects}, rules: cfg.Rules()}
	if cfg.TLS.Set() {
		var err error
		if g.listenerTLS, err = newTLSState(cfg, log, g.now); err != nil {
			return nil, err
		}
	}
	if !cfg.ByTokens() {
		return g, nil
	}
	text, err := readFile(g.keyFile)
	if err != nil {
		return nil, err
	}
	keys, err := identity.ParseKeys(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.keyFile, err)
	}
	g.keyText = text
	g.keys.Store(keys)
	g.verifier = identity.NewVerifier(cfg.Terms(), keys)
	g.log.Info("callers are proven by tokens", "keys", len(keys.List), "tenants", len(cfg.Tenants))
	return g, nil
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

// Run looks at the key file until the context ends.
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

// ReloadFiles reads the key file, and puts it in force if it has changed and can be read.
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
			g.log.Info("key file is as it was before the fault", "file", g.keyFile)
			g.lastFault = ""
		}
		return
	}
	var keys *identity.Keys
	if err == nil {
		keys, err = identity.ParseKeys(text)
	}
	if err != nil {
		if g.lastFault != err.Error() { // once for each fault, not every second
			g.log.Error("key file can't be used, the old keys stay in force", "file", g.keyFile, "err", err)
		}
		g.lastFault = err.Error()
		return
	}
	// From here on no proof by a key that is not in the set holds; the verifier follows.
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

// Reload takes over the tenants' rights, and looks at the key file.
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

// Name is the name of a token in a request's list.
func (g *Authenticator) Name() string { return g.tokenName }

// Prove tells what a token proves that came from an address. It may take some 100 us, and must not be called under a lock that others
// wait for. Suspect tells that its connection has shown a bad one before; so may others from its address have.
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
	p, err := g.verifier.Check(g.now(), token, suspect)
	g.verifierMu.Unlock()
	if identity.WhyOf(err) == identity.Forged { // what else is wrong with a token is found out before its signature is checked
		g.rightsMu.Lock()
		g.sources.Bad(g.now(), from)
		g.rightsMu.Unlock()
	}
	return p, err
}

// Holds tells whether a proof still holds. It waits for nothing.
func (g *Authenticator) Holds(p *identity.Proof) error {
	if p.ByCertificate() && g.listenerTLS != nil {
		return g.listenerTLS.certs.Load().Holds(g.now(), p)
	}
	return g.keys.Load().Holds(g.now(), p)
}

// May tells whether the bearer of a proof may make a request now. An order uses its token's id.
func (g *Authenticator) May(p *identity.Proof, a identity.Ask) error {
	if p == nil {
		return &identity.Error{Why: identity.Unproven}
	}
	if err := g.Holds(p); err != nil {
		return err
	}
	g.rightsMu.Lock()
	defer g.rightsMu.Unlock()
	if err := g.policy.May(g.now(), p.Tenant, a); err != nil {
		return err
	}
	if a.Once {
		return g.replays.Use(g.now(), p)
	}
	return nil
}

// Release gives back the id of a token whose order has surely not run.
func (g *Authenticator) Release(p *identity.Proof) {
	g.rightsMu.Lock()
	defer g.rightsMu.Unlock()
	g.replays.Release(p)
}
