// Package operator reads the operator's file, which enables features that the base configuration (LB_CONFIG)
// does not have. It reports all errors of a file at once, each with its line. It opens no socket and reads no
// other file, except the key file of [instances] on request.
//
// Without a file, none of the features exists. The file is TOML, which is made for settings that people
// write and can be read in only one way. An unknown key is an error, so that a typing error cannot silently
// disable a feature.
package operator

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"
)

// File is the operator's file, with defaults filled in.
type File struct {
	Path      string
	ExtProc   *ExtProc
	Identity  *Identity
	Joining   *Joining
	ManyKeys  *ManyKeys
	Orders    *Orders
	Instances *Instances
	Zones     *Zones // requires Instances
}

// ExtProc configures the external processor (docs/extproc.md).
type ExtProc struct {
	Listen Address `toml:"listen"`
	// Mode is "answer" (the processor sends the request to a member and answers) or "route" (the caller
	// sends it).
	Mode string `toml:"mode"`
	// Unmapped is what happens to a request that matches no map entry: "pass" or "refuse".
	Unmapped   string `toml:"unmapped"`
	MaxStreams int    `toml:"max_streams"`
	// MessageTimeout is how long the caller waits for the response to a message. MaxMessageTimeout is the
	// longest extension that it lets a processor request; 0 means none.
	MessageTimeout    Duration `toml:"message_timeout"`
	MaxMessageTimeout Duration `toml:"max_message_timeout"`
	// ReturnMargin is subtracted from each time limit that the caller gives, for the response's way back.
	ReturnMargin Duration `toml:"margin" json:"Margin"`
	// ReturnTimeout is how long a caller in mode route may take to return for the next attempt.
	ReturnTimeout Duration `toml:"return_within" json:"ReturnWithin"`
	// OrderRetention is how long an order's request ID is remembered after its end.
	OrderRetention Duration `toml:"remember" json:"Remember"`
	ContentType    string   `toml:"content_type"`
	MissStatus     int      `toml:"miss_status"`
	// ShedStatus is the status of requests that are refused for lack of capacity.
	ShedStatus int `toml:"shed_status"`
	// Fallbacks is the number of fallback members that are named, in order, for a read in mode route. The
	// caller moves on to them by itself and must do so within FallbackTimeout after they were named.
	Fallbacks       int        `toml:"fallbacks"`
	FallbackTimeout Duration   `toml:"fallback_within" json:"FallbackWithin"`
	Headers         Headers    `toml:"headers"`
	Map             []MapEntry `toml:"map"`
}

// Headers names the headers that the processor reads and sets.
type Headers struct {
	RequestID      string   `toml:"request_id"`
	Tenant         string   `toml:"tenant"`
	IdempotencyKey string   `toml:"idempotency_key" json:"Key"`
	Attempt        string   `toml:"attempt"`
	TimeLeft       []string `toml:"time_left"`
	Destination    string   `toml:"destination"`
	Retry          string   `toml:"retry"`
	TryTimeout     string   `toml:"try_timeout"`
}

// MapEntry maps requests to a class and a key.
type MapEntry struct {
	Methods      []string `toml:"methods"`
	Path         string   `toml:"path"`
	Class        string   `toml:"class"`
	Key          string   `toml:"key"`
	Write        bool     `toml:"write"`
	MultipleKeys bool     `toml:"many" json:"Many"` // the key is a comma-separated list of keys
	Line         int
}

// fileTables has a field for each table of the file. decoder.isSet reports whether the file has it.
type fileTables struct {
	ExtProc  ExtProc  `toml:"extproc"`
	Identity Identity `toml:"identity"`
	Joining  Joining  `toml:"joining"`
	ManyKeys ManyKeys `toml:"many_keys"`
	Orders   Orders   `toml:"orders"`

	Instances Instances `toml:"instances"`
	Zones     Zones     `toml:"zones"`
}

func defaults() fileTables {
	return fileTables{Identity: identityDefaults, Joining: joiningDefaults, ManyKeys: manyKeysDefaults, Orders: ordersDefaults, Instances: instancesDefaults, Zones: zonesDefaults, ExtProc: ExtProc{
		Mode: "answer", Unmapped: "refuse", MaxStreams: 256, MessageTimeout: Duration(200 * time.Millisecond),
		ReturnMargin: Duration(10 * time.Millisecond), ReturnTimeout: Duration(250 * time.Millisecond),
		OrderRetention: Duration(30 * time.Second), ContentType: "application/octet-stream", MissStatus: 404,
		ShedStatus: 429, FallbackTimeout: Duration(100 * time.Millisecond),
		Headers: Headers{
			RequestID: "x-request-id", Tenant: "x-tenant", IdempotencyKey: "idempotency-key", Attempt: "x-envoy-attempt-count",
			TimeLeft:    []string{"x-envoy-expected-rq-timeout-ms", "grpc-timeout"},
			Destination: "x-gateway-destination-endpoint", Retry: "x-linenloom-retry",
		},
	}}
}

// Load reads and checks a file. The error is of type Faults, unless the file could not be read.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes and checks the text of a file.
func Parse(path string, text []byte) (*File, error) {
	fileDecoder := &decoder{file: path}
	tables := defaults()
	fileDecoder.decode(text, &tables)
	file := &File{Path: path}
	file.ExtProc = checkTable(fileDecoder, "extproc", &tables.ExtProc, fileDecoder.checkExtProc)
	file.Identity = checkTable(fileDecoder, "identity", &tables.Identity, fileDecoder.checkIdentity)
	file.Joining = checkTable(fileDecoder, "joining", &tables.Joining, fileDecoder.checkJoining)
	file.ManyKeys = checkTable(fileDecoder, "many_keys", &tables.ManyKeys, fileDecoder.checkManyKeys)
	file.Orders = checkTable(fileDecoder, "orders", &tables.Orders, fileDecoder.checkOrders)
	file.Instances = checkTable(fileDecoder, "instances", &tables.Instances, fileDecoder.checkInstances)
	file.Zones = checkTable(fileDecoder, "zones", &tables.Zones, fileDecoder.checkZones)
	return file, fileDecoder.err()
}

// checkTable checks a table and returns it, or returns nil if the file does not set it.
func checkTable[T any](d *decoder, name string, t *T, check func(*T)) *T {
	if !d.isSet(name) {
		return nil
	}
	check(t)
	return t
}

func (d *decoder) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		d.faultAt(path, "%s is %q; it can be %s", path, value, strings.Join(allowed, " or "))
	}
}

func (d *decoder) checkDuration(path string, value, least, most time.Duration) {
	if value < least || value > most {
		d.faultAt(path, "%s is %v; it can be from %v to %v", path, value, least, most)
	}
}

func (d *decoder) checkExtProc(extProc *ExtProc) {
	const prefix = "extproc."
	if !d.isSet("extproc.listen") {
		d.faultAt("extproc", "extproc.listen is missing")
	}
	d.checkOneOf(prefix+"mode", extProc.Mode, "answer", "route")
	d.checkOneOf(prefix+"unmapped", extProc.Unmapped, "pass", "refuse")
	if extProc.MaxStreams < 1 || extProc.MaxStreams > 16384 {
		d.faultAt(prefix+"max_streams", "extproc.max_streams is %d; it can be from 1 to 16384", extProc.MaxStreams)
	}
	d.checkDuration(prefix+"message_timeout", extProc.MessageTimeout.D(), 10*time.Millisecond, time.Minute)
	d.checkDuration(prefix+"max_message_timeout", extProc.MaxMessageTimeout.D(), 0, time.Hour)
	if m := extProc.MaxMessageTimeout.D(); m > 0 && m < extProc.MessageTimeout.D() {
		d.faultAt(prefix+"max_message_timeout", "extproc.max_message_timeout is %v, less than message_timeout (%v)", m, extProc.MessageTimeout.D())
	}
	d.checkDuration(prefix+"margin", extProc.ReturnMargin.D(), 0, extProc.MessageTimeout.D()/2)
	d.checkDuration(prefix+"return_within", extProc.ReturnTimeout.D(), time.Millisecond, 10*time.Second)
	d.checkDuration(prefix+"remember", extProc.OrderRetention.D(), 6*time.Second, time.Hour)
	if extProc.MissStatus < 200 || extProc.MissStatus > 599 {
		d.faultAt(prefix+"miss_status", "extproc.miss_status is %d; it can be from 200 to 599", extProc.MissStatus)
	}
	if extProc.ShedStatus != 429 && extProc.ShedStatus != 503 {
		d.faultAt(prefix+"shed_status", "extproc.shed_status is %d; it can be 429 or 503", extProc.ShedStatus)
	}
	if extProc.Fallbacks < 0 || extProc.Fallbacks > 3 {
		d.faultAt(prefix+"fallbacks", "extproc.fallbacks is %d; it can be from 0 to 3", extProc.Fallbacks)
	}
	if extProc.Fallbacks > 0 && extProc.Mode == "answer" {
		d.faultAt(prefix+"fallbacks", "extproc.fallbacks is for mode route; in mode answer no member is named to the caller")
	}
	// A caller that moves on later than this could reach a member that has started to drain in the meantime.
	d.checkDuration(prefix+"fallback_within", extProc.FallbackTimeout.D(), time.Millisecond, 200*time.Millisecond)
	headers := reflect.ValueOf(extProc.Headers)
	for i := range headers.NumField() {
		path := prefix + "headers." + headers.Type().Field(i).Tag.Get("toml")
		names, ok := headers.Field(i).Interface().([]string)
		if !ok {
			names = []string{headers.Field(i).String()}
		}
		for _, name := range names {
			if !validHeaderName(name) && (name != "" || ok) {
				d.faultAt(path, "%s: %q is no header name (lower case, RFC 9110 section 5.1)", path, name)
			}
		}
	}
	for _, required := range []struct{ path, value string }{
		{"request_id", extProc.Headers.RequestID}, {"destination", extProc.Headers.Destination}, {"retry", extProc.Headers.Retry},
		{"attempt", extProc.Headers.Attempt},
	} {
		if required.value == "" {
			d.faultAt(prefix+"headers."+required.path, "extproc.headers.%s is empty", required.path)
		}
	}
	if len(extProc.Map) == 0 {
		d.faultAt("extproc", "no [[extproc.map]]: no request would have a class")
	}
	for i := range extProc.Map {
		path := fmt.Sprintf("extproc.map[%d]", i)
		d.checkMap(path, &extProc.Map[i])
		switch many := extProc.Map[i].MultipleKeys; {
		case many && extProc.Map[i].Write:
			d.faultAt(path+".many", "%s: a write has one key", path)
		case many && extProc.Mode != "answer":
			d.faultAt(path+".many", "%s.many: in mode route the caller makes the exchange, with one key", path)
		case many && !d.isSet("many_keys"):
			d.faultAt(path+".many", "%s.many, but no [many_keys]", path)
		}
	}
}

func (d *decoder) checkMap(path string, entry *MapEntry) {
	entry.Line = d.lines[path]
	if len(entry.Methods) == 0 {
		d.faultAt(path, "%s has no methods", path)
	}
	for _, method := range entry.Methods {
		if method == "" || strings.ToUpper(method) != method {
			d.faultAt(path+".methods", "%s.methods: %q is no method (upper case)", path, method)
		}
	}
	if entry.Class == "" {
		d.faultAt(path, "%s has no class", path)
	}
	if entry.Key == "" {
		entry.Key = "{key}"
	}
	vars, err := ParsePathTemplate(entry.Path)
	if err != nil {
		d.faultAt(path+".path", "%s.path: %v", path, err)
		return
	}
	used, err := ParseVariables(entry.Key)
	if err != nil {
		d.faultAt(path+".key", "%s.key: %v", path, err)
		return
	}
	if len(used) == 0 {
		d.faultAt(path+".key", "%s.key has no {variable}: all requests would share one key", path)
	}
	for _, v := range used {
		if !slices.Contains(vars, v) {
			d.faultAt(path+".key", "%s.key uses {%s}, which the path does not have", path, v)
		}
	}
}

func validHeaderName(name string) bool {
	return name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-_.") == ""
}

// ParsePathTemplate parses a path template and returns its variables. A segment is plain text or a
// {variable}; the last one may be {variable...}, which matches the rest of the path.
func ParsePathTemplate(path string) (vars []string, err error) {
	if !strings.HasPrefix(path, "/") {
		return nil, fmt.Errorf("%q does not begin with /", path)
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		name, ok := SegmentVariable(s)
		if !ok {
			if strings.ContainsAny(s, "{}?#") {
				return nil, fmt.Errorf("segment %q is neither plain text nor one {variable}", s)
			}
			continue
		}
		name, rest := strings.CutSuffix(name, "...")
		switch {
		case rest && i < len(segments)-1:
			return nil, fmt.Errorf("{%s...} takes the rest of the path and must be the last segment", name)
		case name == "" || strings.ContainsAny(name, "{}./"):
			return nil, fmt.Errorf("segment %q has no name for its variable", s)
		case slices.Contains(vars, name):
			return nil, fmt.Errorf("{%s} is used twice", name)
		}
		vars = append(vars, name)
	}
	return vars, nil
}

// SegmentVariable returns the variable of a segment and whether the segment is one.
func SegmentVariable(s string) (name string, ok bool) {
	if len(s) < 2 || s[0] != '{' || s[len(s)-1] != '}' {
		return "", false
	}
	return s[1 : len(s)-1], true
}

// ParseVariables returns the {variables} of a text.
func ParseVariables(text string) (vars []string, err error) {
	for rest := text; rest != ""; {
		i := strings.IndexAny(rest, "{}")
		if i < 0 {
			break
		}
		j := strings.IndexByte(rest[i:], '}')
		if rest[i] == '}' || j < 2 {
			return nil, fmt.Errorf("%q: braces must enclose a variable's name", text)
		}
		vars = append(vars, rest[i+1:i+j])
		rest = rest[i+j+1:]
	}
	return vars, nil
}

// restartKeys is the keys of each table that cannot change while the program runs.
var restartKeys = map[string][]string{
	"extproc": {"listen", "mode", "max_streams"},
	"identity": {"keys", "issuer", "audience", "tenant_claim", "name", "leeway", "max_life", "known", "checks_per_s", "replays",
		"suspects", "tls"},
	"joining":   {"followers", "followers_per_tenant", "flights", "across_tenants"},
	"many_keys": {"keys", "bytes", "out", "part"},
	"instances": {"listen", "advertise", "join", "cluster", "key_file", "forget"},
	"zones":     {"least", "region"},
	"orders":    {"dir", "most", "most_bytes", "keep", "line", "segment", "compact_at", "strangers", "receipts"},
}

// Diff compares f, which is in force, with updated, a new file. It returns the changed keys that require a
// restart and those that can change while the program runs.
func (f *File) Diff(updated *File) (restart, live []string) {
	c := fileChanges{}
	compareTable(&c, "extproc", f.ExtProc, updated.ExtProc)
	compareTable(&c, "identity", f.Identity, updated.Identity)
	compareTable(&c, "joining", f.Joining, updated.Joining)
	compareTable(&c, "many_keys", f.ManyKeys, updated.ManyKeys)
	compareTable(&c, "instances", f.Instances, updated.Instances)
	compareTable(&c, "zones", f.Zones, updated.Zones)
	compareTable(&c, "orders", f.Orders, updated.Orders)
	return c.restart, c.live
}

// fileChanges is the changed keys: those that require a restart, including tables that only one file has,
// and those that can change while the program runs.
type fileChanges struct{ restart, live []string }

func compareTable[T any](c *fileChanges, table string, a, b *T) {
	switch {
	case (a == nil) != (b == nil):
		c.restart = append(c.restart, table)
		return
	case a == nil:
		return
	}
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		name := va.Type().Field(i).Tag.Get("toml")
		if reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			continue
		}
		if slices.Contains(restartKeys[table], name) {
			c.restart = append(c.restart, table+"."+name)
		} else {
			c.live = append(c.live, table+"."+name)
		}
	}
}

// KeepRestartKeys replaces what requires a restart with the values of old, the file in force.
func (f *File) KeepRestartKeys(old *File) {
	f.ExtProc = keepRestartKeys("extproc", f.ExtProc, old.ExtProc)
	f.Identity = keepRestartKeys("identity", f.Identity, old.Identity)
	f.Joining = keepRestartKeys("joining", f.Joining, old.Joining)
	f.ManyKeys = keepRestartKeys("many_keys", f.ManyKeys, old.ManyKeys)
	f.Orders = keepRestartKeys("orders", f.Orders, old.Orders)
	f.Instances = keepRestartKeys("instances", f.Instances, old.Instances)
	f.Zones = keepRestartKeys("zones", f.Zones, old.Zones)
}

// keepRestartKeys returns the updated table with old's values of the keys that require a restart. Adding or
// removing a table requires a restart as well, so that old is returned then.
func keepRestartKeys[T any](table string, updated, old *T) *T {
	if updated == nil || old == nil {
		return old
	}
	updatedValue, oldValue := reflect.ValueOf(updated).Elem(), reflect.ValueOf(old).Elem()
	for i := range updatedValue.NumField() {
		if slices.Contains(restartKeys[table], updatedValue.Type().Field(i).Tag.Get("toml")) {
			updatedValue.Field(i).Set(oldValue.Field(i))
		}
	}
	return updated
}

// CheckClasses returns faults for classes that the settings do not have.
func (f *File) CheckClasses(known []string) error {
	var faults Faults
	check := func(line int, what, class string) {
		if !slices.Contains(known, class) {
			faults = append(faults, Fault{f.Path, line, fmt.Sprintf("%s is %q; the settings have %s", what, class, strings.Join(known, ", "))})
		}
	}
	if f.ExtProc != nil {
		for i, m := range f.ExtProc.Map {
			check(m.Line, fmt.Sprintf("extproc.map[%d].class", i), m.Class)
		}
	}
	if f.Identity != nil {
		for i, t := range f.Identity.Tenants {
			for _, class := range t.Classes {
				check(t.Line, fmt.Sprintf("identity.tenant[%d].classes", i), class)
			}
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}
