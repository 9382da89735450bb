package inherit

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// writtenSnapshot is the JSON of a snapshot in which every field has a value other than zero. The keys and their order
// are what another version of the program reads and writes; they must not follow a rename of a Go field.
const writtenSnapshot = `{"Fleet":1,"TakenMS":2,` +
	`"Learnt":{"Keys":[{"Key":3,"Count":4.5,"Err":5.5,"At":[6]}],"Total":7.5,"Kept":8.5,` +
	`"Members":[{"ID":9,"StartedAt":10,"Limit":11.5,"Latency":12.5,"Gap":13.5,"Pace":14.5,"Seen":15,"Cut":true,` +
	`"Fails":16.5,"Streak":17,"Out":18}],` +
	`"Latency":19.5,"Fails":20.5,"Arrivals":21.5,"Carried":22.5,"Span":23.5,"Asked":24.5,"Answered":25.5},` +
	`"Members":{"9":{"Addr":"a","Turn":26,"Clean":27,"Need":28,"Suspect":31}},` +
	`"Idle":{"Used":[29.5],"Broke":[30.5]},"Reuse":0.5}`

// TestWrittenKeys guards the keys of the written form: a successor process of another version must be able to read it.
func TestWrittenKeys(t *testing.T) {
	var s Snapshot
	in := json.NewDecoder(strings.NewReader(writtenSnapshot))
	in.DisallowUnknownFields()
	if err := in.Decode(&s); err != nil {
		t.Fatal(err)
	}
	checkFilled(t, "Snapshot", reflect.ValueOf(s))
	b, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	body := b[headerBytes:]
	if got := string(body); got != writtenSnapshot {
		t.Errorf("written as\n%s\nwant\n%s", got, writtenSnapshot)
	}
	if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("decoded as %+v, %v, want %+v", got, err, s)
	}
}

// checkFilled fails for each exported field in a value that is zero, or a list or map without entries: such a field is
// not covered by the text that the value was decoded from.
func checkFilled(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not in the written form", path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				checkFilled(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			t.Errorf("%s is not in the written form", path)
		}
		for i := range v.Len() {
			checkFilled(t, path, v.Index(i))
		}
	case reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is not in the written form", path)
		}
		for _, k := range v.MapKeys() {
			checkFilled(t, path, v.MapIndex(k))
		}
	}
}
