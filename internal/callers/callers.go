// Package callers applies the rules of package identity to the connections of a process: it loads the key
// file, reloads it when it changes, and authenticates and authorizes the callers of many connections
// concurrently.
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

// reloadInterval is how often the key file is checked. A key that is no longer in the file is refused from
// reloadInterval after the file's replacement at the latest; a key that is retired by its own time is refused
// from that time on.
const reloadInterval = time.Second

const maxFileBytes = 256 << 10

// Authenticator authenticates callers and decides what they may do.
type Authenticator struct {
	keyFile   string
	tokenName string
	log       *slog.Logger
	now       func() time.Time

	keys        atomic.Pointer[identity.KeySet] // in force
	verifierMu  sync.Mutex                      // guards verifier; a check takes about 100 us
	verifier    *identity.Verifier              // nil: tokens are not accepted
	listenerTLS *tlsState                       // nil: listeners use no TLS

	rightsMu sync.Mutex // guards policy, replays and sources; held only for look-ups
	policy   *identity.Policy
	replays  identity.ReplayGuard
	sources  identity.SuspectSources

	rules     []identity.CertRule
	filesMu   sync.Mutex // guards rules, keyText and lastFault
	keyText   []byte     // contents of the key file in force
	lastFault string     // the error logged last
}

// New loads the keys. It fails if they cannot be read.
func New(cfg *operator.Identity, log *slog.Logger) (*Authenticator, error) {
	authenticator := &Authenticator{keyFile: cfg.KeySetFile, tokenName: cfg.TokenAttribute, log: log, now: time.Now, policy: identity.NewPolicy(cfg.Rights(), nil),
		replays: identity.ReplayGuard{MaxIDs: cfg.MaxReplayIDs}, sources: identity.SuspectSources{MaxAddresses: cfg.MaxSuspects}, rules: cfg.CertRules()}
	if cfg.TLS.Enabled() {
		var err error
		if authenticator.listenerTLS, err = newTLSState(cfg, log, authenticator.now); err != nil {
			return nil, err
		}
	}
	if !cfg.AcceptsTokens() {
		return authenticator, nil
	}
	text, err := readFile(authenticator.keyFile)
	if err != nil {
		return nil, err
	}
	keys, err := identity.ParseKeySet(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", authenticator.keyFile, err)
	}
	authenticator.keyText = text
	authenticator.keys.Store(keys)
	authenticator.verifier = identity.NewVerifier(cfg.TokenRequirements(), keys)
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
func (a *Authenticator) Run(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.ReloadFiles()
		}
	}
}

// ReloadFiles reads the key file and the TLS files, and applies those that have changed and are valid.
func (a *Authenticator) ReloadFiles() {
	a.filesMu.Lock()
	defer a.filesMu.Unlock()
	if a.listenerTLS != nil {
		a.listenerTLS.reload(a.rules)
	}
	if a.verifier != nil {
		a.reloadKeys()
	}
}

func (a *Authenticator) reloadKeys() {
	text, err := readFile(a.keyFile)
	if err == nil && bytes.Equal(text, a.keyText) {
		if a.lastFault != "" {
			a.log.Info("key file has its earlier contents again", "file", a.keyFile)
			a.lastFault = ""
		}
		return
	}
	var keys *identity.KeySet
	if err == nil {
		keys, err = identity.ParseKeySet(text)
	}
	if err != nil {
		if a.lastFault != err.Error() { // logged once for each error, not every second
			a.log.Error("key file is unusable, the old keys stay in force", "file", a.keyFile, "err", err)
		}
		a.lastFault = err.Error()
		return
	}
	// From here on no proof by a key outside the new set is valid; the verifier is updated afterwards.
	a.keys.Store(keys)
	a.verifierMu.Lock()
	a.verifier.SetKeys(keys)
	a.verifierMu.Unlock()
	a.keyText, a.lastFault = text, ""
	var ids []string
	for _, k := range keys.List {
		ids = append(ids, k.ID+" "+k.Phase(a.now()).String())
	}
	a.log.Info("keys in force", "file", a.keyFile, "keys", ids)
}

// Reload applies the tenants' rights and checks the files.
func (a *Authenticator) Reload(cfg *operator.Identity) {
	a.rightsMu.Lock()
	a.policy = identity.NewPolicy(cfg.Rights(), a.policy)
	a.rightsMu.Unlock()
	a.filesMu.Lock()
	if a.rules = cfg.CertRules(); a.listenerTLS != nil {
		a.listenerTLS.setRules(a.rules)
	}
	a.filesMu.Unlock()
	a.ReloadFiles()
}

// TokenAttribute returns the name of the attribute that carries a token in a request.
func (a *Authenticator) TokenAttribute() string { return a.tokenName }

// VerifyToken verifies a token that came from an address. It may take about 100 us and must not be
// called under a contended lock. suspect says that the token's connection has sent an invalid token before;
// the address may also be on record as a source of invalid tokens.
func (a *Authenticator) VerifyToken(token []byte, from netip.Addr, suspect bool) (*identity.Proof, error) {
	if a.verifier == nil {
		return nil, &identity.Error{Reason: identity.Forbidden, Detail: "no tokens are taken here"}
	}
	if !suspect {
		a.rightsMu.Lock()
		suspect = a.sources.Suspect(a.now(), from)
		a.rightsMu.Unlock()
	}
	a.verifierMu.Lock()
	proof, err := a.verifier.Check(a.now(), token, suspect)
	a.verifierMu.Unlock()
	if identity.ReasonOf(err) == identity.BadSignature { // all other errors are found before the signature is checked
		a.rightsMu.Lock()
		a.sources.RecordForged(a.now(), from)
		a.rightsMu.Unlock()
	}
	return proof, err
}

// CheckProof returns an error if a proof is no longer valid. It does not block.
func (a *Authenticator) CheckProof(p *identity.Proof) error {
	if p.ByCertificate() && a.listenerTLS != nil {
		return a.listenerTLS.certs.Load().CheckProof(a.now(), p)
	}
	return a.keys.Load().CheckProof(a.now(), p)
}

// Authorize returns nil if the holder of a proof may make a request now, else the reason. An order consumes
// its token's id.
func (a *Authenticator) Authorize(p *identity.Proof, request identity.Request) error {
	if p == nil {
		return &identity.Error{Reason: identity.NoCredentials}
	}
	if err := a.CheckProof(p); err != nil {
		return err
	}
	a.rightsMu.Lock()
	defer a.rightsMu.Unlock()
	if err := a.policy.Authorize(a.now(), p.Tenant, request); err != nil {
		return err
	}
	if request.AtMostOnce {
		return a.replays.Use(a.now(), p)
	}
	return nil
}

// Release makes the id of a token usable again if its order is known not to have run.
func (a *Authenticator) Release(p *identity.Proof) {
	a.rightsMu.Lock()
	defer a.rightsMu.Unlock()
	a.replays.Release(p)
}
