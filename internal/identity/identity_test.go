package identity

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
)

var (
	epoch            = time.Unix(1_800_000_000, 0)
	testRequirements = TokenRequirements{Issuer: "issuer", Audience: "tiles", TenantClaim: "tenant", Leeway: 30 * time.Second, MaxLifetime: time.Hour,
		CacheSize: 8, ChecksPerSecond: 1000}
)

// signer is a private key, with its ID and algorithm.
type signer struct {
	id  string
	key crypto.Signer
	alg jose.SignatureAlgorithm
}

func newSigner(t testing.TB, id string, alg jose.SignatureAlgorithm) signer {
	t.Helper()
	var key crypto.Signer
	var err error
	switch alg {
	case jose.EdDSA:
		_, key, err = ed25519.GenerateKey(rand.Reader)
	case jose.ES256:
		key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case jose.RS256:
		key, err = rsa.GenerateKey(rand.Reader, 2048)
	}
	if err != nil {
		t.Fatal(err)
	}
	return signer{id, key, alg}
}

func (s signer) jwk(t testing.TB, members string) string {
	t.Helper()
	text, err := jose.JSONWebKey{Key: s.key.Public(), KeyID: s.id}.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSuffix(string(text), "}") + members + "}"
}

func keySet(t testing.TB, jwks ...string) *KeySet {
	t.Helper()
	k, err := ParseKeySet([]byte(`{"keys":[` + strings.Join(jwks, ",") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// sign signs a payload as it is, with additional headers.
func (s signer) sign(t testing.TB, payload string, headers map[jose.HeaderKey]any) string {
	t.Helper()
	opts := (&jose.SignerOptions{}).WithHeader("kid", s.id)
	for k, v := range headers {
		opts = opts.WithHeader(k, v)
	}
	by, err := jose.NewSigner(jose.SigningKey{Algorithm: s.alg, Key: s.key}, opts)
	if err != nil {
		t.Fatal(err)
	}
	sig, err := by.Sign([]byte(payload))
	if err != nil {
		t.Fatal(err)
	}
	text, err := sig.CompactSerialize()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func claims(edit ...string) string {
	c := map[string]any{"iss": "issuer", "aud": "tiles", "tenant": "acme", "exp": epoch.Add(10 * time.Minute).Unix()}
	for i := 0; i < len(edit); i += 2 {
		var v any
		if json.Unmarshal([]byte(edit[i+1]), &v); v == nil {
			delete(c, edit[i])
			continue
		}
		c[edit[i]] = v
	}
	text, _ := json.Marshal(c)
	return string(text)
}

func encodeSegment(v string) string { return base64.RawURLEncoding.EncodeToString([]byte(v)) }

// TestTokens checks valid tokens and attempts at forging one. A token has to be signed by an active key of
// the set, within its validity period, for this issuer and audience.
func TestTokens(t *testing.T) {
	ed, ec, rs := newSigner(t, "ed", jose.EdDSA), newSigner(t, "ec", jose.ES256), newSigner(t, "rs", jose.RS256)
	other := newSigner(t, "ed", jose.EdDSA) // another key under an ID of the set
	coming, gone := newSigner(t, "coming", jose.EdDSA), newSigner(t, "gone", jose.EdDSA)
	keys := keySet(t, ed.jwk(t, ""), ec.jwk(t, ""), rs.jwk(t, ""),
		coming.jwk(t, fmt.Sprintf(`,"nbf":%d`, epoch.Unix()+1)), gone.jwk(t, fmt.Sprintf(`,"exp":%d`, epoch.Unix())))
	hmac := func(secret []byte) string {
		by, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.HS256, Key: secret}, (&jose.SignerOptions{}).WithHeader("kid", "rs"))
		if err != nil {
			t.Fatal(err)
		}
		sig, _ := by.Sign([]byte(claims()))
		text, _ := sig.CompactSerialize()
		return text
	}
	rsText, _ := jose.JSONWebKey{Key: rs.key.Public(), KeyID: "rs"}.MarshalJSON()
	embedded := func() string {
		by, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.EdDSA, Key: other.key}, &jose.SignerOptions{EmbedJWK: true})
		if err != nil {
			t.Fatal(err)
		}
		sig, _ := by.Sign([]byte(claims()))
		text, _ := sig.CompactSerialize()
		return text
	}
	good := ed.sign(t, claims(), nil)
	parts := strings.Split(good, ".")
	at := func(d time.Duration) string { return fmt.Sprint(epoch.Add(d).Unix()) }
	for name, c := range map[string]struct {
		token string
		want  Reason
	}{
		"EdDSA": {good, 0}, "ES256": {ec.sign(t, claims(), nil), 0}, "RS256": {rs.sign(t, claims(), nil), 0},
		"audiences":                     {ed.sign(t, claims("aud", `["x","tiles"]`), nil), 0},
		"none":                          {"", Malformed},
		"alg none":                      {encodeSegment(`{"alg":"none","kid":"ed"}`) + "." + parts[1] + ".", Malformed},
		"HMAC with the public key":      {hmac(rsText), Malformed},
		"unknown kid":                   {signer{"who", ed.key, ed.alg}.sign(t, claims(), nil), UnknownKey},
		"no kid":                        {signer{"", ed.key, ed.alg}.sign(t, claims(), nil), UnknownKey},
		"a path for kid":                {signer{"../../etc/passwd", ed.key, ed.alg}.sign(t, claims(), nil), UnknownKey},
		"an embedded key":               {embedded(), Forbidden},
		"a pointer to a key":            {ed.sign(t, claims(), map[jose.HeaderKey]any{"jku": "http://127.0.0.1/"}), Forbidden},
		"another algorithm's key":       {signer{"ec", ed.key, ed.alg}.sign(t, claims(), nil), Forbidden},
		"a megabyte":                    {strings.Repeat("a", 1<<20), Malformed},
		"two parts":                     {parts[0] + "." + parts[1], Malformed},
		"the wrong key":                 {other.sign(t, claims(), nil), BadSignature},
		"another payload":               {parts[0] + "." + encodeSegment(claims("tenant", `"else"`)) + "." + parts[2], BadSignature},
		"doubled claims":                {ed.sign(t, `{"tenant":"acme","iss":"issuer","aud":"tiles","exp":`+at(time.Minute)+`,"tenant":"else"}`, nil), Malformed},
		"a nested tenant":               {ed.sign(t, claims("tenant", `{"name":"acme"}`), nil), Forbidden},
		"no tenant":                     {ed.sign(t, claims("tenant", `null`), nil), Forbidden},
		"no JSON":                       {ed.sign(t, "hello", nil), Malformed},
		"no end":                        {ed.sign(t, claims("exp", "null"), nil), Forbidden},
		"a long life":                   {ed.sign(t, claims("exp", at(3*time.Hour)), nil), Forbidden},
		"run out":                       {ed.sign(t, claims("exp", at(-31*time.Second)), nil), Expired},
		"run out, by a clock 29 s off":  {ed.sign(t, claims("exp", at(-29*time.Second)), nil), 0},
		"nbf ahead":                     {ed.sign(t, claims("nbf", at(31*time.Second)), nil), NotYetValid},
		"nbf ahead by a clock 29 s off": {ed.sign(t, claims("nbf", at(29*time.Second)), nil), 0},
		"another issuer":                {ed.sign(t, claims("iss", `"else"`), nil), Foreign},
		"another audience":              {ed.sign(t, claims("aud", `"else"`), nil), Foreign},
		"a coming key":                  {coming.sign(t, claims(), nil), NotYetValid},
		"a retired key":                 {gone.sign(t, claims(), nil), KeyRetired},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewVerifier(testRequirements, keys)
			for range 2 { // the second time from the cache
				p, err := v.Check(epoch, []byte(c.token), false)
				if ReasonOf(err) != c.want || (err == nil) != (c.want == 0) {
					t.Fatalf("%v, want %v", err, c.want)
				}
				if err == nil && p.Tenant != "acme" {
					t.Errorf("it proves %q", p.Tenant)
				}
				if err != nil && len(c.token) > 20 && strings.Contains(err.Error(), c.token[len(c.token)-20:]) {
					t.Errorf("the token stands in the error: %v", err)
				}
			}
			if c.want == 0 && v.Checks != 1 {
				t.Errorf("%d checks of one token", v.Checks)
			}
		})
	}
}

// TestKeySets checks that a single error rejects the whole set.
func TestKeySets(t *testing.T) {
	ed := newSigner(t, "ed", jose.EdDSA)
	weak, err := rsa.GenerateKey(rand.Reader, 1024)
	if err != nil {
		t.Fatal(err)
	}
	private, _ := jose.JSONWebKey{Key: ed.key, KeyID: "ed"}.MarshalJSON()
	shared, _ := jose.JSONWebKey{Key: []byte("0123456789abcdef"), KeyID: "s"}.MarshalJSON()
	for name, c := range map[string]struct{ text, want string }{
		"empty":             {"", "unexpected end"},
		"half":              {`{"keys":[` + ed.jwk(t, "")[:40], "unexpected end"},
		"no key":            {`{"keys":[]}`, "no key"},
		"twice":             {`{"keys":[` + ed.jwk(t, "") + "," + ed.jwk(t, "") + `]}`, "is used twice"},
		"a path for an id":  {`{"keys":[` + signer{"../x", ed.key, ed.alg}.jwk(t, "") + `]}`, "kid"},
		"a private key":     {`{"keys":[` + string(private) + `]}`, "private"},
		"a shared key":      {`{"keys":[` + string(shared) + `]}`, "shared"},
		"a weak key":        {`{"keys":[` + signer{"w", weak, jose.RS256}.jwk(t, "") + `]}`, "1024 bits"},
		"for encryption":    {`{"keys":[` + ed.jwk(t, `,"use":"enc"`) + `]}`, "enc"},
		"of another alg":    {`{"keys":[` + ed.jwk(t, `,"alg":"RS256"`) + `]}`, "EdDSA"},
		"over before it is": {`{"keys":[` + ed.jwk(t, `,"nbf":20,"exp":10`) + `]}`, "after nbf"},
	} {
		if _, err := ParseKeySet([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

// TestProofEndsWithItsKey checks that the end of a key ends every proof by it, also of cached tokens: when
// its exp is reached, it leaves the set, or another key replaces it under the same ID.
func TestProofEndsWithItsKey(t *testing.T) {
	a, b := newSigner(t, "a", jose.EdDSA), newSigner(t, "b", jose.EdDSA)
	token := []byte(a.sign(t, claims(), nil))
	for name, c := range map[string]struct {
		keys *KeySet
		at   time.Duration
		want Reason
	}{
		"it stays":               {keySet(t, a.jwk(t, ""), b.jwk(t, "")), time.Minute, 0},
		"its moment comes":       {keySet(t, a.jwk(t, fmt.Sprintf(`,"exp":%d`, epoch.Add(time.Minute).Unix()))), time.Minute, KeyRetired},
		"just before its moment": {keySet(t, a.jwk(t, fmt.Sprintf(`,"exp":%d`, epoch.Add(time.Minute).Unix()))), time.Minute - 1, 0},
		"it leaves":              {keySet(t, b.jwk(t, "")), 0, KeyRetired},
		"another takes its id":   {keySet(t, newSigner(t, "a", jose.EdDSA).jwk(t, "")), 0, KeyRetired},
		"the token runs out":     {keySet(t, a.jwk(t, "")), 10*time.Minute + 30*time.Second, Expired},
	} {
		v := NewVerifier(testRequirements, keySet(t, a.jwk(t, "")))
		p, err := v.Check(epoch, token, false)
		if err != nil {
			t.Fatal(err)
		}
		v.SetKeys(c.keys)
		now := epoch.Add(c.at)
		if err := c.keys.CheckProof(now, p); ReasonOf(err) != c.want {
			t.Errorf("%s: the proof: %v, want %v", name, err, c.want)
		}
		if _, err := v.Check(now, token, false); (err == nil) != (c.want == 0) {
			t.Errorf("%s: the token again: %v", name, err)
		}
	}
}

// TestChecksAreBounded checks that many bad tokens cause few signature checks, and that sources without a
// bad token keep their share.
func TestChecksAreBounded(t *testing.T) {
	a, forger := newSigner(t, "a", jose.EdDSA), newSigner(t, "a", jose.EdDSA)
	lowLimit := testRequirements
	lowLimit.ChecksPerSecond = 20
	v := NewVerifier(lowLimit, keySet(t, a.jwk(t, "")))
	known := []byte(a.sign(t, claims("sub", `"known"`), nil))
	if _, err := v.Check(epoch, known, false); err != nil {
		t.Fatal(err)
	}
	overloaded := 0
	for i := range 1000 { // in one second, from suspect sources
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		_, err := v.Check(now, []byte(forger.sign(t, claims("sub", fmt.Sprintf(`"%d"`, i)), nil)), true)
		switch ReasonOf(err) {
		case Overloaded:
			overloaded++
		case BadSignature:
		default:
			t.Fatal(err)
		}
	}
	if v.Checks > 1+2*10 || overloaded < 900 {
		t.Errorf("%d checks, %d not looked at", v.Checks, overloaded)
	}
	now := epoch.Add(time.Second)
	for i := range 5 {
		if _, err := v.Check(now, []byte(a.sign(t, claims("sub", fmt.Sprintf(`"good %d"`, i)), nil)), false); err != nil {
			t.Errorf("a new caller: %v", err)
		}
		if _, err := v.Check(now, known, true); err != nil {
			t.Errorf("a known token: %v", err)
		}
	}
	if v.CacheLen() > lowLimit.CacheSize {
		t.Errorf("%d tokens are known", v.CacheLen())
	}
}

func TestRights(t *testing.T) {
	p := NewPolicy([]Rights{
		{Tenant: "app"},
		{Tenant: "kiosk", Classes: []string{"read"}, Prefixes: []string{"map/", "run/"}, Fronts: []string{"resp2"}, ReadOnly: true},
		{Tenant: "shop", MaxValue: 10, Rate: 2},
	}, nil)
	ok := Request{Class: "read", Key: []byte("map/1"), Front: "resp2"}
	edit := func(f func(*Request)) Request { a := ok; f(&a); return a }
	for name, c := range map[string]struct {
		tenant string
		ask    Request
		want   Reason
	}{
		"all":                 {"app", edit(func(a *Request) { a.Write, a.ValueSize, a.Class = true, 1<<20, "order" }), 0},
		"a tenant not named":  {"else", ok, NoRight},
		"a kiosk's read":      {"kiosk", ok, 0},
		"a kiosk's order":     {"kiosk", edit(func(a *Request) { a.Class, a.Write = "order", true }), NoRight},
		"a write as a read":   {"kiosk", edit(func(a *Request) { a.Write = true }), NoRight},
		"another prefix":      {"kiosk", edit(func(a *Request) { a.Key = []byte("order/1") }), NoRight},
		"another front":       {"kiosk", edit(func(a *Request) { a.Front = "extproc" }), NoRight},
		"a value in bounds":   {"shop", edit(func(a *Request) { a.Write, a.ValueSize = true, 10 }), 0},
		"a value past bounds": {"shop", edit(func(a *Request) { a.Write, a.ValueSize = true, 11 }), NoRight},
	} {
		if err := p.Authorize(epoch, c.tenant, c.ask); ReasonOf(err) != c.want {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	allowed := 0
	for i := range 100 { // ten seconds
		now := epoch.Add(10*time.Second + time.Duration(i)*100*time.Millisecond)
		if p.Authorize(now, "shop", ok) == nil {
			allowed++
		}
		if i == 50 { // a reload gives no second burst
			p = NewPolicy([]Rights{{Tenant: "shop", Rate: 2}}, p)
		}
	}
	if allowed < 20 || allowed > 22 {
		t.Errorf("%d requests in ten seconds at a rate of 2", allowed)
	}
}

// TestReplays checks that an order's token is accepted once, unless the order has certainly not run, and
// that no ID is forgotten before its token expires.
func TestReplays(t *testing.T) {
	r := ReplayGuard{MaxIDs: 3}
	proof := func(id string, life time.Duration) *Proof {
		return &Proof{Tenant: "acme", ID: id, ExpiresAt: epoch.Add(life)}
	}
	use := func(at time.Duration, p *Proof, want Reason) {
		t.Helper()
		if err := r.Use(epoch.Add(at), p); ReasonOf(err) != want {
			t.Errorf("%s at %v: %v, want %v", p.ID, at, err, want)
		}
	}
	use(0, proof("", time.Hour), 0)
	use(0, proof("a", time.Minute), 0)
	use(0, proof("a", time.Minute), Replayed)
	r.Release(proof("a", time.Minute))
	use(0, proof("a", time.Minute), 0)
	use(0, proof("b", time.Hour), 0)
	use(0, proof("c", time.Hour), 0)
	use(0, proof("d", time.Hour), Replayed)
	if r.Len() != 3 {
		t.Errorf("%d are remembered", r.Len())
	}
	use(2*time.Minute, proof("d", time.Hour), 0) // the token of a has expired
	use(2*time.Minute, proof("b", time.Hour), Replayed)
	use(2*time.Minute, proof("e", time.Hour), Replayed)
}

func FuzzCheck(f *testing.F) {
	a := newSigner(f, "a", jose.EdDSA)
	keys := keySet(f, a.jwk(f, ""))
	good := a.sign(f, claims(), nil)
	for _, s := range []string{good, "", "..", "a.b.c", good[:len(good)-3], "." + good, encodeSegment(`{"alg":"none"}`) + ".e30."} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, token []byte) {
		v := NewVerifier(testRequirements, keys)
		p, err := v.Check(epoch, token, false)
		if err == nil && (p.Tenant != "acme" || !bytes.Equal(bytes.TrimSpace(token), []byte(good))) {
			t.Errorf("%q proves %+v", token, p)
		}
	})
}

func FuzzParseKeys(f *testing.F) {
	a := newSigner(f, "a", jose.EdDSA)
	for _, s := range []string{"", "{}", `{"keys":[` + a.jwk(f, "") + `]}`, `{"keys":[{}]}`, `{"keys":[{"kty":"RSA","n":"","e":""}]}`,
		`{"keys":[` + a.jwk(f, `,"nbf":-1e300,"exp":1e300`) + `]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		k, err := ParseKeySet(text)
		if err == nil && (len(k.List) == 0 || len(k.List) != len(k.ByID)) {
			t.Errorf("%q: %+v", text, k)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	for _, alg := range Algorithms {
		s := newSigner(b, "a", alg)
		keys, token := keySet(b, s.jwk(b, "")), []byte(s.sign(b, claims(), nil))
		for _, size := range []int{0, 8} {
			b.Run(fmt.Sprintf("%s/seen=%v", alg, size > 0), func(b *testing.B) {
				t := testRequirements
				t.CacheSize, t.ChecksPerSecond = size, 1e12
				v := NewVerifier(t, keys)
				for b.Loop() {
					if _, err := v.Check(epoch, token, false); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkMemory fills what is remembered of callers up to the default limits of the operator's file and
// reports its size.
func BenchmarkMemory(b *testing.B) {
	const tokens, ids, sources = 4096, 65536, 4096
	s := newSigner(b, "a", jose.EdDSA)
	keys := keySet(b, s.jwk(b, ""))
	signed := make([][]byte, tokens)
	for i := range signed {
		signed[i] = []byte(s.sign(b, claims("jti", fmt.Sprintf("%q", fmt.Sprintf("%032x", i))), nil))
	}
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		t := testRequirements
		t.CacheSize, t.ChecksPerSecond = tokens, 1e12
		v, r, src := NewVerifier(t, keys), &ReplayGuard{MaxIDs: ids}, &SuspectSources{MaxAddresses: sources}
		at := heap()
		for _, token := range signed {
			if _, err := v.Check(epoch, token, false); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(heap()-at, "B/known")
		at = heap()
		for i := range ids {
			if err := r.Use(epoch, &Proof{Tenant: "kiosk", ID: fmt.Sprintf("%032x", i), ExpiresAt: epoch.Add(time.Hour)}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(heap()-at, "B/replays")
		at = heap()
		for i := range sources {
			src.RecordForged(epoch, netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}))
		}
		b.ReportMetric(heap()-at, "B/suspects")
		if v.CacheLen() != tokens || r.Len() != ids || src.Len() != sources {
			b.Fatalf("%d tokens, %d ids, %d addresses", v.CacheLen(), r.Len(), src.Len())
		}
	}
}
