// Package idcmd implements the commands for signing keys and tokens, for operators, tests and staging. It
// replaces key files atomically by rename, so that a process never reads an incomplete file. It is not used
// for serving.
package idcmd

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"linenloom/internal/flags"
	"linenloom/internal/identity"
)

const exitUsage = 2

// Token runs the command token: sign and inspect.
func Token(args []string) int { return run("token", args, os.Stdin, os.Stdout, os.Stderr, time.Now) }

// Keys runs the command keys: list and rotate.
func Keys(args []string) int { return run("keys", args, os.Stdin, os.Stdout, os.Stderr, time.Now) }

func run(command string, args []string, in io.Reader, out, errs io.Writer, now func() time.Time) int {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	var err error
	switch command + " " + name {
	case "token sign":
		err = sign(args[1:], out, errs, now())
	case "token inspect":
		err = inspect(args[1:], in, out, errs, now())
	case "keys list":
		err = list(args[1:], out, errs, now())
	case "keys rotate":
		err = rotate(args[1:], out, errs, now())
	default:
		fmt.Fprint(errs, `usage: linenloom token sign -key FILE -issuer I -audience A -tenant T [-jti ID] [-for 10m]   a token, on standard output
       linenloom token inspect [-keys FILE]      the claims of the token on standard input, and whether a key set accepts it
       linenloom keys list -keys FILE            the keys of a set and their phases
       linenloom keys rotate -keys FILE -private FILE [-alg EdDSA] [-after 1m] [-overlap 1h] [-prune 24h]
                                                 adds a key, active -after from now; the earlier keys end -overlap later
`)
		return exitUsage
	}
	switch {
	case errors.Is(err, flags.ErrUsage), errors.Is(err, flag.ErrHelp):
		return exitUsage
	case err != nil:
		fmt.Fprintf(errs, "linenloom %s %s: %v\n", command, name, err)
		return 1
	}
	return 0
}

func sign(args []string, out, errs io.Writer, now time.Time) error {
	flagSet := flag.NewFlagSet("token sign", flag.ContinueOnError)
	key := flagSet.String("key", "", "the private key, a JWK `FILE`")
	issuer, audience := flagSet.String("issuer", "", "iss"), flagSet.String("audience", "", "aud")
	tenant, claim := flagSet.String("tenant", "", "the tenant"), flagSet.String("claim", "tenant", "the claim that names it")
	subject, jti := flagSet.String("subject", "", "sub"), flagSet.String("jti", "", "an ID, for an order's token")
	lifetime := flagSet.Duration("for", 10*time.Minute, "how long the token is valid")
	if err := flags.Parse(flagSet, errs, args, "key", "issuer", "audience", "tenant"); err != nil {
		return err
	}
	text, err := os.ReadFile(*key)
	if err != nil {
		return err
	}
	var jwk jose.JSONWebKey
	if err := jwk.UnmarshalJSON(text); err != nil {
		return fmt.Errorf("%s: %w", *key, err)
	}
	alg, err := algorithmOf(jwk.Key)
	if err != nil {
		return fmt.Errorf("%s: %w", *key, err)
	}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: alg, Key: jwk.Key}, (&jose.SignerOptions{}).WithHeader("kid", jwk.KeyID))
	if err != nil {
		return err
	}
	token, err := jwt.Signed(signer).Claims(jwt.Claims{Issuer: *issuer, Audience: jwt.Audience{*audience}, Subject: *subject, ID: *jti,
		IssuedAt: jwt.NewNumericDate(now), Expiry: jwt.NewNumericDate(now.Add(*lifetime))}).
		Claims(map[string]any{*claim: *tenant}).Serialize()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, token)
	return err
}

func algorithmOf(key any) (jose.SignatureAlgorithm, error) {
	switch key.(type) {
	case ed25519.PrivateKey:
		return jose.EdDSA, nil
	case *ecdsa.PrivateKey:
		return jose.ES256, nil
	case *rsa.PrivateKey:
		return jose.RS256, nil
	}
	return "", errors.New("it has no private key for EdDSA, ES256 or RS256")
}

func inspect(args []string, in io.Reader, out, errs io.Writer, now time.Time) error {
	flagSet := flag.NewFlagSet("token inspect", flag.ContinueOnError)
	file := flagSet.String("keys", "", "check the token against this JWK set `FILE`")
	if err := flags.Parse(flagSet, errs, args); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(in, identity.MaxTokenBytes+2))
	if err != nil {
		return err
	}
	token := strings.TrimSpace(string(text))
	if len(token) > identity.MaxTokenBytes {
		return fmt.Errorf("the token is longer than %d bytes", identity.MaxTokenBytes)
	}
	parsed, err := jwt.ParseSigned(token, identity.Algorithms)
	if err != nil {
		return errors.New("the input is no token signed with EdDSA, ES256 or RS256")
	}
	var registered jwt.Claims
	var allClaims map[string]any
	if err := parsed.UnsafeClaimsWithoutVerification(&registered, &allClaims); err != nil {
		return errors.New("the token's claims can't be read")
	}
	fmt.Fprintf(out, "alg %s, kid %s\n", parsed.Headers[0].Algorithm, parsed.Headers[0].KeyID)
	claims, err := json.MarshalIndent(allClaims, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", claims)
	if registered.Expiry != nil {
		fmt.Fprintf(out, "expires %s, in %v\n", registered.Expiry.Time().UTC().Format(time.RFC3339), registered.Expiry.Time().Sub(now).Round(time.Second))
	}
	if *file == "" {
		fmt.Fprintln(out, "the signature was not checked: -keys is not given")
		return nil
	}
	keys, err := loadKeySet(*file)
	if err != nil {
		return err
	}
	k := keys.ByID[parsed.Headers[0].KeyID]
	switch {
	case k == nil:
		return errors.New("no key of the set has the token's kid")
	case parsed.Claims(k.Public, &registered) != nil:
		return errors.New("the signature is not by the set's key")
	case k.Phase(now) != identity.PhaseActive:
		return fmt.Errorf("its key is %s", k.Phase(now))
	}
	fmt.Fprintln(out, "the signature is by an active key of the set")
	return nil
}

func loadKeySet(file string) (*identity.KeySet, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	keys, err := identity.ParseKeySet(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return keys, nil
}

func list(args []string, out, errs io.Writer, now time.Time) error {
	flagSet := flag.NewFlagSet("keys list", flag.ContinueOnError)
	file := flagSet.String("keys", "", "a JWK set `FILE`")
	if err := flags.Parse(flagSet, errs, args, "keys"); err != nil {
		return err
	}
	keys, err := loadKeySet(*file)
	if err != nil {
		return err
	}
	when := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return t.UTC().Format(time.RFC3339)
	}
	for _, k := range keys.List {
		fmt.Fprintf(out, "%-20s %-6s %-8s from %s until %s\n", k.ID, k.Alg, k.Phase(now), when(k.NotBefore), when(k.NotAfter))
	}
	return nil
}

func rotate(args []string, out, errs io.Writer, now time.Time) error {
	flagSet := flag.NewFlagSet("keys rotate", flag.ContinueOnError)
	file := flagSet.String("keys", "", "the JWK set `FILE`, created if it does not exist")
	private := flagSet.String("private", "", "the `FILE` for the new private key, which must not exist yet")
	alg := flagSet.String("alg", "EdDSA", "EdDSA, ES256 or RS256")
	after := flagSet.Duration("after", time.Minute, "when the new key becomes active: long enough for every process to have read the file")
	overlap := flagSet.Duration("overlap", time.Hour, "how long the earlier keys stay active after that: as long as their tokens are valid")
	prune := flagSet.Duration("prune", 24*time.Hour, "remove keys that ended longer ago than this")
	if err := flags.Parse(flagSet, errs, args, "keys", "private"); err != nil {
		return err
	}
	var set struct {
		Keys []map[string]any `json:"keys"`
	}
	text, err := os.ReadFile(*file)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	default:
		if _, err := identity.ParseKeySet(text); err != nil {
			return fmt.Errorf("%s: %w", *file, err)
		}
		if err := json.Unmarshal(text, &set); err != nil {
			return fmt.Errorf("%s: %w", *file, err)
		}
	}
	from := now.Add(*after)
	kept := set.Keys[:0]
	for _, k := range set.Keys {
		end, ended := k["exp"].(float64)
		if ended && time.Unix(int64(end), 0).Before(now.Add(-*prune)) {
			fmt.Fprintf(out, "left out %v, which has ended\n", k["kid"])
			continue
		}
		if !ended || time.Unix(int64(end), 0).After(from.Add(*overlap)) {
			k["exp"] = from.Add(*overlap).Unix()
		}
		kept = append(kept, k)
	}
	id := fmt.Sprintf("k%s", now.UTC().Format("20060102T150405"))
	jwk := jose.JSONWebKey{KeyID: id, Use: "sig", Algorithm: *alg}
	if jwk.Key, err = generateKey(*alg); err != nil {
		return err
	}
	secret, err := jwk.MarshalJSON()
	if err != nil {
		return err
	}
	public, err := jwk.Public().MarshalJSON()
	if err != nil {
		return err
	}
	var entry map[string]any
	if err := json.Unmarshal(public, &entry); err != nil {
		return err
	}
	if *after > 0 {
		entry["nbf"] = from.Unix()
	}
	set.Keys = append(kept, entry)
	if text, err = json.MarshalIndent(set, "", "  "); err != nil {
		return err
	}
	if _, err := identity.ParseKeySet(text); err != nil { // an invalid set is not written
		return err
	}
	// The private key is written first: a public key is useless if its private key is lost.
	privateFile, err := os.OpenFile(*private, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err = privateFile.Write(append(secret, '\n')); err == nil {
		err = privateFile.Sync()
	}
	if e := privateFile.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = replaceFile(*file, append(text, '\n'))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is active from %s; sign with it from then on\n", id, from.UTC().Format(time.RFC3339))
	return nil
}

func generateKey(alg string) (crypto.Signer, error) {
	switch alg {
	case "EdDSA":
		_, k, err := ed25519.GenerateKey(rand.Reader)
		return k, err
	case "ES256":
		return ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case "RS256":
		return rsa.GenerateKey(rand.Reader, 2048)
	}
	return nil, fmt.Errorf("-alg is %q; it can be EdDSA, ES256 or RS256", alg)
}

// replaceFile replaces a file atomically.
func replaceFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Chmod(f.Name(), 0o644)
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}
