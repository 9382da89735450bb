package operator

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const validFile = `[extproc]
listen = "unix:/run/x.sock"
mode = "route"
max_streams = 1_000
message_timeout = "300ms"
[extproc.headers]
time_left = ["x-left"]
[[extproc.map]]
methods = ["GET"]
path = "/tiles/{key}"
class = "tile-read"
`

func TestParse(t *testing.T) {
	f, err := Parse("f", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	e := f.ExtProc
	if e.Listen != "unix:/run/x.sock" || e.MaxStreams != 1000 || e.MessageTimeout.D() != 300*time.Millisecond ||
		e.ReturnMargin.D() != 10*time.Millisecond || e.Headers.TimeLeft[0] != "x-left" || e.Headers.RequestID != "x-request-id" ||
		e.Map[0].Key != "{key}" || e.Map[0].Line != 8 {
		t.Errorf("%+v", e)
	}
	if f, err = Parse("f", nil); err != nil || f.ExtProc != nil {
		t.Errorf("an empty file switches on %+v, %v", f, err)
	}
}

// TestFaultsNameTheirLine breaks the valid file in one place per case; the fault has to name the line.
func TestFaultsNameTheirLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`listen = "unix:/run/x.sock"`, `listen = "localhost:9"`, `f:2: extproc.listen: "localhost:9" is no address`},
		{`listen = "unix:/run/x.sock"`, `listen = "unix:x.sock"`, `f:2: extproc.listen: "unix:x.sock": the path`},
		{`listen = "unix:/run/x.sock"`, `listen = 9`, `f:2: extproc.listen must be an address`},
		{`listen = "unix:/run/x.sock"`, ``, `f:1: extproc.listen is missing`},
		{`mode = "route"`, `mode = "both"`, `f:3: extproc.mode is "both"; it can be answer or route`},
		{`mode = "route"`, `moed = "route"`, `f:3: unknown key extproc.moed (did you mean mode?)`},
		{`mode = "route"`, `mode = "route"` + "\n" + `mode = "route"`, `f:4: `},
		{`max_streams = 1_000`, `max_streams = 0`, `f:4: extproc.max_streams is 0`},
		{`max_streams = 1_000`, `max_streams = 1.5`, `f:4: extproc.max_streams must be a whole number, not 1.5`},
		{`max_streams = 1_000`, `max_streams = [1]`, `f:4: extproc.max_streams must be a whole number, not a list`},
		{`message_timeout = "300ms"`, `message_timeout = "300"`, `f:5: extproc.message_timeout: "300" is no time`},
		{`message_timeout = "300ms"`, `message_timeout = 300`, `f:5: extproc.message_timeout must be a time`},
		{`message_timeout = "300ms"`, `message_timeout = "-3s"`, `f:5: extproc.message_timeout: "-3s"`},
		{`message_timeout = "300ms"`, `message_timeout = "1h"`, `f:5: extproc.message_timeout is 1h0m0s; it can be`},
		{`message_timeout = "300ms"`, `max_message_timeout = "100ms"`, `f:5: extproc.max_message_timeout is 100ms, less than`},
		{`[extproc.headers]`, `[extproc.header]`, `f:6: unknown table [extproc.header] (did you mean headers?)`},
		{`time_left = ["x-left"]`, `time_left = ["X Left"]`, `f:7: extproc.headers.time_left: "X Left" is no header name`},
		{`time_left = ["x-left"]`, `time_left = "x"`, `f:7: extproc.headers.time_left must be a list`},
		{`time_left = ["x-left"]`, `time_left = ["x", 3]`, `f:7: extproc.headers.time_left[1] must be a string, not 3`},
		{`time_left = ["x-left"]`, `retry = ""`, `f:7: extproc.headers.retry is empty`},
		{`[[extproc.map]]`, `[extproc.map]`, `f:8: extproc.map is an array of tables: write [[extproc.map]]`},
		{`methods = ["GET"]`, ``, `f:8: extproc.map[0] has no methods`},
		{`methods = ["GET"]`, `methods = ["Get"]`, `f:9: extproc.map[0].methods: "Get" is no method`},
		{`path = "/tiles/{key}"`, `path = "tiles/{key}"`, `f:10: extproc.map[0].path: "tiles/{key}" does not begin`},
		{`path = "/tiles/{key}"`, `path = "/tiles/{key...}/x"`, `f:10: extproc.map[0].path: {key...} takes the rest`},
		{`path = "/tiles/{key}"`, `path = "/tiles/a{key}"`, `f:10: extproc.map[0].path: segment "a{key}"`},
		{`path = "/tiles/{key}"`, `path = "/{key}/{key}"`, `f:10: extproc.map[0].path: {key} is used twice`},
		{`path = "/tiles/{key}"`, `path = "/tiles/{id}"`, `f:8: extproc.map[0].key uses {key}, which the path does not have`},
		{`class = "tile-read"`, `key = "{key"`, `f:11: extproc.map[0].key: "{key": braces`},
		{`class = "tile-read"`, `key = "x"`, `f:11: extproc.map[0].key has no {variable}`},
		{`class = "tile-read"`, `class = "tile-read`, `f:11: `},
		{`class = "tile-read"`, `write = 1`, `f:11: extproc.map[0].write must be true or false, not 1`},
	} {
		_, err := Parse("f", []byte(strings.Replace(validFile, c.old, c.new, 1)))
		var faults Faults
		if !errors.As(err, &faults) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v\nwant %s", c.new, err, c.want)
		}
	}
}

// TestInstancesFaults checks files whose [instances] or [zones] table is invalid, and key files.
func TestInstancesFaults(t *testing.T) {
	const listen = "[instances]\nlisten = [\"127.0.0.1:1\"]\n"
	for text, want := range map[string]string{
		"[instances]\n":                                                 `f:1: instances.listen is missing`,
		"[instances]\nlisten = [\"here:1\"]\n":                          `f:2: instances.listen: "here:1" is no address with a port`,
		"[instances]\nlisten = [\"10.0.0.1:1\"]\n":                      `f:1: instances.key_file is missing`,
		listen + "advertise = [\"10.0.0.1:1\", \"10.0.0.2:1\"]\n":       `f:3: instances.advertise has 2 addresses, and listen 1`,
		listen + "forget = \"1s\"\n":                                    `f:3: instances.forget is 1s`,
		listen + "cluster = \"\"\n":                                     `f:3: instances.cluster is a name`,
		"[zones]\n":                                                     `f:1: [zones], but no [instances]`,
		listen + "[zones]\nleast = 1.0\n":                               `f:4: zones.least is 1`,
		listen + "[[zones.region]]\nname = \"s\"\nzones = [\"a\"]\n":    `f:3: zones.region[0] has 1 zones`,
		listen + "[[zones.region]]\nname = \"\"\nzones = [\"a\",\"a\"]": `f:3: zones.region[0].name is ""`,
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v\nwant %s", text, err, want)
		}
	}
	for text, ok := range map[string]bool{"000102030405060708090a0b0c0d0e0f\n": true, "# none\n": false, "0001\n": false, "x\n": false} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if keys, err := (&Instances{KeyFile: path}).ReadKeys(); (err == nil && len(keys) == 1) != ok {
			t.Errorf("%q: %d keys, %v", text, len(keys), err)
		}
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	text := strings.NewReplacer(`"route"`, `"both"`, `1_000`, `"many"`, `300ms`, `300`, `["GET"]`, `[]`).Replace(validFile)
	_, err := Parse("f", []byte(text))
	var faults Faults
	if !errors.As(err, &faults) || len(faults) != 4 {
		t.Fatalf("%v, want four faults", err)
	}
	for i := 1; i < len(faults); i++ {
		if faults[i].Line < faults[i-1].Line {
			t.Errorf("not by line: %v", err)
		}
	}
}

func TestCheckClasses(t *testing.T) {
	f, err := Parse("f", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.CheckClasses([]string{"tile-read"}); err != nil {
		t.Error(err)
	}
	if err := f.CheckClasses([]string{"a", "b"}); err == nil || !strings.Contains(err.Error(), `f:8: extproc.map[0].class is "tile-read"; the settings have a, b`) {
		t.Error(err)
	}
}

func TestDiff(t *testing.T) {
	old, _ := Parse("f", []byte(validFile))
	now, err := Parse("f", []byte(strings.NewReplacer(`"route"`, `"answer"`, `300ms`, `250ms`).Replace(validFile)))
	if err != nil {
		t.Fatal(err)
	}
	restart, live := old.Diff(now)
	if strings.Join(restart, " ") != "extproc.mode" || strings.Join(live, " ") != "extproc.message_timeout" {
		t.Errorf("fixed %v, live %v", restart, live)
	}
	if now.KeepRestartKeys(old); now.ExtProc.Mode != "route" || now.ExtProc.MessageTimeout.D() != 250*time.Millisecond {
		t.Errorf("%+v", now.ExtProc)
	}
	none, _ := Parse("f", nil)
	if restart, _ := old.Diff(none); len(restart) != 1 || restart[0] != "extproc" {
		t.Errorf("switched off: %v", restart)
	}
}

// TestExample checks that the example files have no fault and together show every key.
func TestExample(t *testing.T) {
	f, err := Load("../../deploy/operator.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f.ExtProc == nil {
		t.Fatal("the example sets no [extproc]")
	}
	if err := f.CheckClasses([]string{"tile-read", "pass-order"}); err != nil {
		t.Error(err)
	}
	text, _ := os.ReadFile("../../deploy/operator.example.toml")
	second, err := os.ReadFile("../../deploy/operator.identity.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, err = Parse("identity", second); err != nil || f.Identity == nil {
		t.Fatalf("%+v, %v", f, err)
	}
	if err := f.CheckClasses([]string{"tile-read", "pass-order"}); err != nil {
		t.Error(err)
	}
	text = append(text, second...)
	third, err := os.ReadFile("../../deploy/operator.joining.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, err = Parse("joining", third); err != nil || f.Joining == nil {
		t.Fatalf("%+v, %v", f, err)
	}
	text = append(text, third...)
	fourth, err := os.ReadFile("../../deploy/operator.orders.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, err = Parse("orders", fourth); err != nil || f.Orders == nil || !reflect.DeepEqual(f.Orders.Options(false), (&ordersDefaults).Options(false)) {
		t.Fatalf("%+v, %v: not the defaults", f, err)
	}
	text = append(text, fourth...)
	fifth, err := os.ReadFile("../../deploy/operator.instances.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f, err = Parse("instances", fifth); err != nil || f.Instances == nil || f.Zones == nil || f.Zones.MinCapacityShare != zonesDefaults.MinCapacityShare {
		t.Fatalf("%+v, %v", f, err)
	}
	if _, err := f.Regions([]string{"kochi-dc", "chennai-dc"}); err == nil || !strings.Contains(err.Error(), `names zone "bengaluru-dc"; the settings have`) {
		t.Error(err)
	}
	text = append(text, fifth...)
	for _, key := range tomlKeys(fileTables{}) {
		if !strings.Contains(string(text), key+" = ") {
			t.Errorf("the example does not show %s", key)
		}
	}
}

func TestMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	var faults Faults
	if err == nil || errors.As(err, &faults) {
		t.Errorf("%v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add("[extproc]\nmap = [{path = '/{k}'}]\nheaders = {retry = 'x'}")
	f.Add("extproc.listen = '1.2.3.4:5'\nextproc = 3")
	f.Add("[[extproc.map]]\n[extproc.map.x]\n[[extproc]]")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("f", []byte(text))
		var faults Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("%v is no list of faults", err)
		}
		lines := strings.Count(text, "\n") + 1
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Message == "" {
				t.Errorf("%v in a text of %d lines", fault, lines)
			}
		}
	})
}

// tomlKeys returns the names of all keys that hold a value.
func tomlKeys(v any) (names []string) {
	var walk func(t reflect.Type)
	walk = func(t reflect.Type) {
		for i := range t.NumField() {
			f := t.Field(i)
			tag := f.Tag.Get("toml")
			switch ft := f.Type; {
			case tag == "":
			case ft.Kind() == reflect.Struct:
				walk(ft)
			case ft.Kind() == reflect.Slice && ft.Elem().Kind() == reflect.Struct:
				walk(ft.Elem())
			default:
				names = append(names, tag)
			}
		}
	}
	walk(reflect.TypeOf(v))
	return names
}

// TestIdentityFaults checks that faults of [identity] name their line.
func TestIdentityFaults(t *testing.T) {
	const secure = "[identity.tls]\ncert = \"c\"\nkey = \"k\"\nroots = \"r\"\n"
	const right = "[identity]\nkeys = \"k\"\nissuer = \"i\"\naudience = \"a\"\n[[identity.tenant]]\nname = \"kiosk\"\n"
	if _, err := Parse("f", []byte(right)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ text, want string }{
		"no tenant":               {"[identity]\nkeys = \"k\"\nissuer = \"i\"\naudience = \"a\"\n", "f:1: no [[identity.tenant]]"},
		"no keys":                 {strings.Replace(right, "keys", "#", 1), "f:1: identity.keys is missing"},
		"a name in use":           {strings.Replace(right, "keys", "name = \"d\"\nkeys", 1), "f:2: identity.name"},
		"twice":                   {right + "[[identity.tenant]]\nname = \"kiosk\"\n", "f:8: identity.tenant[1].name"},
		"a name that ends a list": {strings.Replace(right, "kiosk", "a,t=b", 1), "f:6: identity.tenant[0].name"},
		"an unknown front":        {right + "fronts = [\"grpc\"]\n", "f:7: identity.tenant[0].fronts"},
		"TLS without roots":       {right + "[identity.tls]\ncert = \"c\"\nkey = \"k\"\n", "f:7: identity.tls.roots"},
		"TLS, nobody proven":      {strings.Replace(right, "keys = \"k\"\nissuer = \"i\"\naudience = \"a\"\n", "", 1) + secure, "f:4: no [[identity.certificate]]"},
		"TLS and half of tokens":  {strings.Replace(right, "keys", "#", 1) + secure, "f:1: identity.keys is missing"},
		"TLS of some kind":        {right + secure + "client = \"maybe\"\n", "f:11: identity.tls.client"},
		"a rule without TLS":      {right + "[[identity.certificate]]\ndns = \"a\"\ntenant = \"kiosk\"\n", "f:7: identity.certificate[0], but no [identity.tls]"},
		"a rule for nobody":       {right + secure + "[[identity.certificate]]\ndns = \"a\"\ntenant = \"x\"\n", "f:13: identity.certificate[0].tenant"},
		"a rule by two names":     {right + secure + "[[identity.certificate]]\ndns = \"a\"\nuri = \"b\"\ntenant = \"kiosk\"\n", "f:11: identity.certificate[0] has to have one"},
		"a star within":           {right + secure + "[[identity.certificate]]\ndns = \"a*.b\"\ntenant = \"kiosk\"\n", "f:11: identity.certificate[0]: a"},
	} {
		if _, err := Parse("f", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}
