package operator

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"linenloom/internal/zones"
)

// Instances makes this process a member of its installation, whose instances exchange messages
// (docs/zones-operators.md).
type Instances struct {
	// Listen is the addresses for the other instances, over UDP and TCP. The first free one is used, since a
	// successor process needs a different one than its predecessor.
	Listen      []string `toml:"listen"`
	Advertise   []string `toml:"advertise"` // public address of each listen address, announced to the other instances
	Join        []string `toml:"join"`
	Cluster     string   `toml:"cluster"`
	KeyFile     string   `toml:"key_file"`
	ForgetAfter Duration `toml:"forget" json:"Forget"` // how long a lost instance is still counted
}

// Zones makes the instances decide together to leave a failing zone and to return to it. It requires
// Instances.
type Zones struct {
	MinCapacityShare float64  `toml:"least" json:"Least"` // the share of the capacity that always stays in use
	Regions          []Region `toml:"region" json:"Region"`
}

// Region is a group of zones that are left and returned to together if they fail together.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
	Line  int
}

var (
	instancesDefaults = Instances{Cluster: "linenloom", ForgetAfter: Duration(time.Minute)}
	zonesDefaults     = Zones{MinCapacityShare: zones.DefaultMinCapacityShare}
)

const maxJoin = 256

func (d *decoder) checkInstances(settings *Instances) {
	const prefix = "instances."
	if len(settings.Listen) == 0 {
		d.faultAt("instances", "instances.listen is missing")
	}
	reachable := false
	for _, key := range []struct {
		name string
		all  []string
	}{{"listen", settings.Listen}, {"advertise", settings.Advertise}, {"join", settings.Join}} {
		for _, text := range key.all {
			a, err := netip.ParseAddrPort(text)
			if err != nil || a.Addr().IsUnspecified() {
				d.faultAt(prefix+key.name, "%s%s: %q is no address with a port; names are not looked up", prefix, key.name, text)
			} else if key.name == "listen" && !a.Addr().IsLoopback() {
				reachable = true
			}
		}
	}
	if n := len(settings.Advertise); n > 0 && n != len(settings.Listen) {
		d.faultAt(prefix+"advertise", "instances.advertise has %d addresses, and listen %d: one for each", n, len(settings.Listen))
	}
	if len(settings.Join) > maxJoin {
		d.faultAt(prefix+"join", "instances.join has %d addresses; it can be up to %d", len(settings.Join), maxJoin)
	}
	if settings.Cluster == "" || len(settings.Cluster) > 64 {
		d.faultAt(prefix+"cluster", "instances.cluster is a name of 1 to 64 bytes")
	}
	if reachable && settings.KeyFile == "" {
		d.faultAt("instances", "instances.key_file is missing: anyone who can reach %s could take zones out of use", strings.Join(settings.Listen, ", "))
	}
	d.checkDuration(prefix+"forget", settings.ForgetAfter.D(), 5*time.Second, time.Hour)
}

func (d *decoder) checkZones(z *Zones) {
	if !d.isSet("instances") {
		d.faultAt("zones", "[zones], but no [instances]: it has no effect on a single proxy")
	}
	if !(z.MinCapacityShare > 0 && z.MinCapacityShare < 1) {
		d.faultAt("zones.least", "zones.least is %v; it can be more than 0 and less than 1", z.MinCapacityShare)
	}
	names, seen := map[string]bool{}, map[string]bool{}
	for i := range z.Regions {
		path := fmt.Sprintf("zones.region[%d]", i)
		r := &z.Regions[i]
		r.Line = d.lines[path]
		if r.Name == "" || names[r.Name] {
			d.faultAt(path, "%s.name is %q; each region needs a name of its own", path, r.Name)
		}
		names[r.Name] = true
		if len(r.Zones) < 2 {
			d.faultAt(path, "%s has %d zones; a region has at least two", path, len(r.Zones))
		}
		for _, zone := range r.Zones {
			if seen[zone] {
				d.faultAt(path, "%s.zones: %q is listed twice", path, zone)
			}
			seen[zone] = true
		}
	}
}

// Regions returns the regions by name, with the indexes of their zones in the configuration.
func (f *File) Regions(known []string) (byName map[string][]int, err error) {
	byName = map[string][]int{}
	if f.Zones == nil {
		return byName, nil
	}
	var faults Faults
	for _, r := range f.Zones.Regions {
		if slices.Contains(known, r.Name) {
			faults = append(faults, Fault{f.Path, r.Line, fmt.Sprintf("region %q has the name of a zone", r.Name)})
		}
		for _, zone := range r.Zones {
			index := slices.Index(known, zone)
			if index < 0 {
				faults = append(faults, Fault{f.Path, r.Line, fmt.Sprintf("region %q names zone %q; the settings have %s", r.Name, zone, strings.Join(known, ", "))})
			}
			byName[r.Name] = append(byName[r.Name], index)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return byName, nil
}

// ParseAddresses parses the addresses of a key, which have been checked before.
func ParseAddresses(texts []string) (all []netip.AddrPort) {
	for _, t := range texts {
		if a, err := netip.ParseAddrPort(t); err == nil {
			all = append(all, a)
		}
	}
	return all
}

// ReadKeys reads the key file, which has one hexadecimal key per line. The first key encrypts; all keys
// decrypt.
func (in *Instances) ReadKeys() (keys [][]byte, err error) {
	if in.KeyFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(in.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("instances.key_file: %w", err)
	}
	for i, line := range bytes.Split(text, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) == 0 || line[0] == '#' {
			continue
		}
		key, err := hex.DecodeString(string(line))
		if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
			return nil, fmt.Errorf("%s:%d: a key is 16, 24 or 32 bytes in hexadecimal", in.KeyFile, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: no key", in.KeyFile)
	}
	return keys, nil
}
