package app

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"linenloom/internal/operator"
)

// Version identifies what an instance runs: two instances with equal versions run the same program with the
// same settings. Settings that differ between instances by nature (index, zone, addresses and directories)
// are excluded.
type Version struct {
	Program  string `json:"program"`
	Settings string `json:"settings"`
}

// digestBytes is the length of a digest in a version, long enough to make collisions within a fleet
// improbable.
const digestBytes = 6

func hexDigest(b []byte) string { return hex.EncodeToString(b[:digestBytes]) }

// programDigest returns the digest of the file that this process was started from.
func programDigest() (string, error) {
	f, err := os.Open("/proc/self/exe") // works even if the file has been replaced since
	if err != nil {
		return "", fmt.Errorf("version: %w", err)
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", fmt.Errorf("version: %w", err)
	}
	return hexDigest(h.Sum(nil)), nil
}

// settingsDigest returns the digest of the configuration and the operator's file.
func settingsDigest(cfg *config, file *operator.File) (string, error) {
	var settings map[string]any
	if err := json.Unmarshal(cfg.Settings, &settings); err != nil {
		return "", fmt.Errorf("version: %w", err)
	}
	delete(settings, "self_index")
	delete(settings, "az")
	hashed := *file
	hashed.Path = ""
	if hashed.Instances != nil {
		in := *hashed.Instances
		in.Listen, in.Advertise = nil, nil
		hashed.Instances = &in
	}
	if hashed.ExtProc != nil {
		e := *hashed.ExtProc
		e.Listen = ""
		hashed.ExtProc = &e
	}
	if hashed.Orders != nil {
		o := *hashed.Orders
		o.Dir = ""
		hashed.Orders = &o
	}
	text, err := json.Marshal([]any{settings, cfg.Limits, hashed}) // the keys of maps are sorted
	if err != nil {
		return "", fmt.Errorf("version: %w", err)
	}
	sum := sha256.Sum256(text)
	return hexDigest(sum[:]), nil
}
