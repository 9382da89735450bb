package operator

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	toml "github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one error in a file.
type Fault struct {
	File    string
	Line    int // counted from 1
	Message string
}

func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message) }

// Faults are all errors of a file, sorted by line.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// decoder is the state of decoding a file. The library's own decoder stops at its first type error and
// reports no line numbers for what it has decoded, so its parser is used here and the values are set by
// reflection.
type decoder struct {
	file          string
	parser        unstable.Parser
	faults        Faults
	lines         map[string]int // the line of each table and key that is set, by path
	elementCounts map[string]int // the number of elements of each array of tables so far
}

func (d *decoder) fault(line int, format string, args ...any) {
	d.faults = append(d.faults, Fault{d.file, max(1, line), fmt.Sprintf(format, args...)})
}

// faultAt records a fault at the line of a path, or of the innermost enclosing table that is set.
func (d *decoder) faultAt(path, format string, args ...any) {
	line := 0
	for p := path; line == 0 && p != ""; {
		line = d.lines[p]
		i := strings.LastIndexByte(p, '.')
		p = p[:max(0, i)]
	}
	d.fault(line, format, args...)
}

// isSet reports whether the file sets a path.
func (d *decoder) isSet(path string) bool { return d.lines[path] > 0 }

func (d *decoder) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.faults
}

// decode sets the fields of into, by their toml tags, from the text. It records errors and reads on.
func (d *decoder) decode(text []byte, into any) {
	var parsed map[string]any
	if err := toml.Unmarshal(text, &parsed); err != nil { // syntax errors and duplicate keys
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ := decodeErr.Position()
			d.fault(line, "%s", strings.TrimPrefix(decodeErr.Error(), "toml: "))
		} else {
			d.fault(1, "%s", strings.TrimPrefix(err.Error(), "toml: "))
		}
		return
	}
	d.lines, d.elementCounts = map[string]int{}, map[string]int{}
	d.parser.Reset(text)
	root := reflect.ValueOf(into).Elem()
	table, path := root, ""
	for d.parser.NextExpression() {
		expression := d.parser.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, path = d.descend(root, "", expression.Key(), expression.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			if table.IsValid() {
				d.keyValue(table, path, expression)
			}
		}
	}
}

func (d *decoder) lineOf(n *unstable.Node) int {
	if n == nil || n.Raw.Length == 0 {
		return 0
	}
	return d.parser.Shape(n.Raw).Start.Line
}

// descend follows a key through the tables that it names and returns the last one with its path. The value
// is invalid if a table is unknown.
func (d *decoder) descend(v reflect.Value, path string, key unstable.Iterator, array bool) (reflect.Value, string) {
	for key.Next() {
		n := key.Node()
		last := key.IsLast()
		path = joinPath(path, string(n.Data))
		target, known := fieldByKey(v, string(n.Data))
		if !known {
			d.fault(d.lineOf(n), "unknown table [%s]%s", path, suggestKey(v, string(n.Data)))
			return reflect.Value{}, path
		}
		if d.lines[path] == 0 {
			d.lines[path] = d.lineOf(n)
		}
		switch {
		case target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct:
			if last && array {
				target.Set(reflect.Append(target, reflect.Zero(target.Type().Elem())))
				d.elementCounts[path]++
			}
			if target.Len() == 0 {
				d.fault(d.lineOf(n), "%s is an array of tables: write [[%s]]", path, path)
				return reflect.Value{}, path
			}
			v = target.Index(target.Len() - 1)
			path = fmt.Sprintf("%s[%d]", path, target.Len()-1)
			if last {
				d.lines[path] = d.lineOf(n)
			}
		case target.Kind() == reflect.Struct && !isLeaf(target.Type()):
			if last && array {
				d.fault(d.lineOf(n), "%s is one table: write [%s]", path, path)
				return reflect.Value{}, path
			}
			v = target
		default:
			d.fault(d.lineOf(n), "%s is not a table: write %s = ...", path, n.Data)
			return reflect.Value{}, path
		}
	}
	return v, path
}

func (d *decoder) keyValue(v reflect.Value, path string, e *unstable.Node) {
	key := e.Key()
	for key.Next() {
		n := key.Node()
		name := string(n.Data)
		line := d.lineOf(n)
		f, known := fieldByKey(v, name)
		if !known {
			d.fault(line, "unknown key %s%s", joinPath(path, name), suggestKey(v, name))
			return
		}
		path = joinPath(path, name)
		d.lines[path] = line
		if key.IsLast() {
			d.setValue(f, path, line, e.Value())
			return
		}
		if f.Kind() != reflect.Struct || isLeaf(f.Type()) {
			d.fault(line, "%s is not a table", path)
			return
		}
		v = f
	}
}

// setValue sets a field from a node of the file and records a fault if the type is wrong.
func (d *decoder) setValue(f reflect.Value, path string, line int, n *unstable.Node) {
	if at := d.lineOf(n); at > 0 {
		line = at
	}
	wrongType := func(want string) { d.fault(line, "%s must be %s, not %s", path, want, describe(n)) }
	if u, ok := f.Addr().Interface().(stringValue); ok {
		if n.Kind != unstable.String {
			wrongType(u.expected())
		} else if err := u.parse(string(n.Data)); err != nil {
			d.fault(line, "%s: %v", path, err)
		}
		return
	}
	switch f.Kind() {
	case reflect.String:
		if n.Kind != unstable.String {
			wrongType("a string")
			return
		}
		f.SetString(string(n.Data))
	case reflect.Float64:
		x, err := strconv.ParseFloat(strings.ReplaceAll(string(n.Data), "_", ""), 64)
		if n.Kind != unstable.Float && n.Kind != unstable.Integer || err != nil {
			wrongType("a number")
			return
		}
		f.SetFloat(x)
	case reflect.Bool:
		if n.Kind != unstable.Bool {
			wrongType("true or false")
			return
		}
		f.SetBool(string(n.Data) == "true")
	case reflect.Int:
		i, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
		if n.Kind != unstable.Integer || err != nil {
			wrongType("a whole number")
			return
		}
		f.SetInt(i)
	case reflect.Slice:
		if n.Kind != unstable.Array {
			wrongType("a list")
			return
		}
		f.Set(reflect.MakeSlice(f.Type(), 0, 4))
		for it, i := n.Children(), 0; it.Next(); i++ {
			elem := reflect.New(f.Type().Elem()).Elem()
			d.setValue(elem, fmt.Sprintf("%s[%d]", path, i), line, it.Node())
			f.Set(reflect.Append(f, elem))
		}
	case reflect.Struct:
		if n.Kind != unstable.InlineTable {
			wrongType("a table")
			return
		}
		for it := n.Children(); it.Next(); {
			d.keyValue(f, path, it.Node())
		}
	default:
		panic("operator: unsupported field type " + f.Type().String())
	}
}

func describe(n *unstable.Node) string {
	switch n.Kind {
	case unstable.String:
		return strconv.Quote(string(n.Data))
	case unstable.Integer, unstable.Float, unstable.Bool:
		return string(n.Data)
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "a table"
	}
	return "a date or time"
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func isLeaf(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[stringValue]())
}

func fieldByKey(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("toml") == name && name != "" {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// suggestKey returns a hint with the known key that is closest to an unknown one, or an empty text.
func suggestKey(v reflect.Value, name string) string {
	best, bestDistance := "", 3
	for i := range v.NumField() {
		known := v.Type().Field(i).Tag.Get("toml")
		if n := editDistance(name, known); known != "" && n < bestDistance {
			best, bestDistance = known, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %s?)", best)
}

// editDistance is the number of single letters to add, delete or change to turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost++
			}
			last = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// stringValue is a value that the file has as a string with a syntax of its own.
type stringValue interface {
	parse(text string) error
	expected() string
}

// Duration is a time with a unit, like "200ms".
type Duration time.Duration

func (d *Duration) expected() string { return `a time with its unit, like "200ms"` }

func (d *Duration) parse(text string) error {
	t, err := time.ParseDuration(text)
	if err != nil || t < 0 {
		return fmt.Errorf("%q is no %s (ns, us, ms, s, m or h)", text, strings.TrimPrefix(d.expected(), "a "))
	}
	*d = Duration(t)
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Size is a number of bytes with a unit, like "64KiB".
type Size int

func (s *Size) expected() string { return `a size with its unit, like "64KiB"` }

func (s *Size) parse(text string) error {
	for _, u := range []struct {
		name string
		n    float64
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}} {
		number, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		if n, err := strconv.ParseFloat(strings.TrimSpace(number), 64); err == nil && n >= 0 && n*u.n < math.MaxInt32 {
			*s = Size(n * u.n)
			return nil
		}
		break
	}
	return fmt.Errorf("%q is no %s (B, KiB, MiB or GiB)", text, strings.TrimPrefix(s.expected(), "a "))
}

// Address is the address of a listener: an IP address and port, or "unix:" and an absolute path.
type Address string

func (a *Address) expected() string { return `an address, like "127.0.0.1:9002" or "unix:/run/x.sock"` }

func (a *Address) parse(text string) error {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if !strings.HasPrefix(path, "/") || len(path) > 100 {
			return fmt.Errorf("%q: the path of a unix socket is absolute and has at most 100 bytes", text)
		}
	} else if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%q is no %s (names are not looked up)", text, strings.TrimPrefix(a.expected(), "an "))
	}
	*a = Address(text)
	return nil
}

// Network returns the network and address for net.Listen.
func (a Address) Network() (network, address string) {
	if path, ok := strings.CutPrefix(string(a), "unix:"); ok {
		return "unix", path
	}
	return "tcp", string(a)
}
