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

// Version names what an instance runs: two with the same name run the same program with the same settings. What differs from one instance to
// the next by its nature (its number, zone, addresses and folders) is no part of it.
type Version struct {
	Program  string `json:"program"`
	Settings string `json:"settings"`
}

// digestBytes is how much of a digest names a version: enough that none of a fleet's is another's by chance.
const digestBytes = 6

func hexDigest(b []byte) string { return hex.EncodeToString(b[:digestBytes]) }

// programDigest is that of the file that this process was started from.
func programDigest() (string, error) {
	f, err := os.Open("/proc/self/exe") // also where the file has been replaced since
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

// settingsDigest is that of the configuration and the operator's file.
func settingsDigest(cfg *config, file *operator.File) (string, error) {
	var settings map[string]any
	if err := json.Unmarshal(cfg.Settings, &settings); err != nil {
		return "", fmt.Errorf("version: %w", err)
	}
	delete(settings, "self_index")
	delete(settings, "az")
	f := *file
	f.Path = ""
	if f.Instances != nil {
		in := *f.Instances
		in.Listen, in.Advertise = nil, nil
		f.Instances = &in
	}
	if f.ExtProc != nil {
		e := *f.ExtProc
		e.Listen = ""
		f.ExtProc = &e
	}
	if f.Orders != nil {
		o := *f.Orders
		o.Dir = ""
		f.Orders = &o
	}
	text, err := json.Marshal([]any{settings, cfg.Limits, f}) // the keys of maps are written in order
	if err != nil {
		return "", fmt.Errorf("version: %w", err)
	}
	sum := sha256.Sum256(text)
	return hexDigest(sum[:]), nil
}
