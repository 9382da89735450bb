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

// lookEvery is how often the key file is looked at. A key that is retired by its file is refused so long after the file was
// replaced at the most; one that is retired by its own moment, from that moment on.
const lookEvery = time.Second

const maxFile = 256 << 10

// Gate tells who callers are and what they may do.
type Gate struct {
	file string
	name string
	log  *slog.Logger
	now  func() time.Time

	keys   atomic.Pointer[identity.KeySet] // in force
	mu     sync.Mutex                      // of the verifier: a check takes some 100 us
	verify *identity.Verifier              // nil: no tokens are taken
	doors  *doors                          // nil: listeners speak plainly

	rights  sync.Mutex // of what follows: held for a look only
	policy  *identity.Policy
	replays identity.ReplayGuard
	sources identity.SuspectSources

	rules []identity.CertRule // under files, like what follows
	files sync.Mutex          // of what follows
	text  []byte              // of the keys in force
	fault string              // as last logged
}

// New reads the keys. Without a set that can be read it does not begin.
func New(cfg *operator.Identity, log *slog.Logger) (*Gate, error) {
	g := &Gate{file: cfg.KeySetFile, name: cfg.TokenAttribute, log: log, now: time.Now, policy: identity.NewPolicy(cfg.Rights(), nil),
		replays: identity.ReplayGuard{MaxIDs: cfg.MaxReplayIDs}, sources: identity.SuspectSources{MaxAddresses: cfg.MaxSuspects}, rules: cfg.CertRules()}
	if cfg.TLS.Enabled() {
		var err error
		if g.doors, err = newDoors(cfg, log, g.now); err != nil {
			return nil, err
		}
	}
	if !cfg.AcceptsTokens() {
		return g, nil
	}
	text, err := read(g.file)
	if err != nil {
		return nil, err
	}
	keys, err := identity.ParseKeySet(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.file, err)
	}
	g.text = text
	g.keys.Store(keys)
	g.verify = identity.NewVerifier(cfg.TokenRequirements(), keys)
	g.log.Info("callers are proven by tokens", "keys", len(keys.List), "tenants", len(cfg.Tenants))
	return g, nil
}

func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err == nil && len(text) > maxFile {
		err = errors.New("too long")
	}
	if err != nil {
		return nil, fmt.Errorf("key file: %s: %w", path, err)
	}
	return text, nil
}

// Run looks at the key file until the context ends.
func (g *Gate) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.Look()
		}
	}
}

// Look reads the key file, and puts it in force if it has changed and can be read.
func (g *Gate) Look() {
	g.files.Lock()
	defer g.files.Unlock()
	if g.doors != nil {
		g.doors.look(g.rules)
	}
	if g.verify != nil {
		g.lookKeys()
	}
}

func (g *Gate) lookKeys() {
	text, err := read(g.file)
	if err == nil && bytes.Equal(text, g.text) {
		if g.fault != "" {
			g.log.Info("key file is as it was before the fault", "file", g.file)
			g.fault = ""
		}
		return
	}
	var keys *identity.KeySet
	if err == nil {
		keys, err = identity.ParseKeySet(text)
	}
	if err != nil {
		if g.fault != err.Error() { // once for each fault, not every second
			g.log.Error("key file can't be used, the old keys stay in force", "file", g.file, "err", err)
		}
		g.fault = err.Error()
		return
	}
	// From here on no proof by a key that is not in the set holds; the verifier follows.
	g.keys.Store(keys)
	g.mu.Lock()
	g.verify.SetKeys(keys)
	g.mu.Unlock()
	g.text, g.fault = text, ""
	var ids []string
	for _, k := range keys.List {
		ids = append(ids, k.ID+" "+k.Phase(g.now()).String())
	}
	g.log.Info("keys in force", "file", g.file, "keys", ids)
}

// Reload takes over the tenants' rights, and looks at the key file.
func (g *Gate) Reload(cfg *operator.Identity) {
	g.rights.Lock()
	g.policy = identity.NewPolicy(cfg.Rights(), g.policy)
	g.rights.Unlock()
	g.files.Lock()
	if g.rules = cfg.CertRules(); g.doors != nil {
		g.doors.rule(g.rules)
	}
	g.files.Unlock()
	g.Look()
}

// Name is the name of a token in a request's list.
func (g *Gate) Name() string { return g.name }

// Prove tells what a token proves that came from an address. It may take some 100 us, and must not be called under a lock that others
// wait for. Suspect tells that its connection has shown a bad one before; so may others from its address have.
func (g *Gate) Prove(token []byte, from netip.Addr, suspect bool) (*identity.Proof, error) {
	if g.verify == nil {
		return nil, &identity.Error{Reason: identity.Forbidden, Detail: "no tokens are taken here"}
	}
	if !suspect {
		g.rights.Lock()
		suspect = g.sources.Suspect(g.now(), from)
		g.rights.Unlock()
	}
	g.mu.Lock()
	p, err := g.verify.Check(g.now(), token, suspect)
	g.mu.Unlock()
	if identity.ReasonOf(err) == identity.BadSignature { // what else is wrong with a token is found out before its signature is checked
		g.rights.Lock()
		g.sources.RecordForged(g.now(), from)
		g.rights.Unlock()
	}
	return p, err
}

// Holds tells whether a proof still holds. It waits for nothing.
func (g *Gate) Holds(p *identity.Proof) error {
	if p.ByCertificate() && g.doors != nil {
		return g.doors.certs.Load().CheckProof(g.now(), p)
	}
	return g.keys.Load().CheckProof(g.now(), p)
}

// May tells whether the bearer of a proof may make a request now. An order uses its token's id.
func (g *Gate) May(p *identity.Proof, a identity.Request) error {
	if p == nil {
		return &identity.Error{Reason: identity.NoCredentials}
	}
	if err := g.Holds(p); err != nil {
		return err
	}
	g.rights.Lock()
	defer g.rights.Unlock()
	if err := g.policy.Authorize(g.now(), p.Tenant, a); err != nil {
		return err
	}
	if a.AtMostOnce {
		return g.replays.Use(g.now(), p)
	}
	return nil
}

// Release gives back the id of a token whose order has surely not run.
func (g *Gate) Release(p *identity.Proof) {
	g.rights.Lock()
	defer g.rights.Unlock()
	g.replays.Release(p)
}
