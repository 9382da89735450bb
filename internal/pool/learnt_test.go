package pool

import (
	"encoding/json"
	"testing"
	"time"
)

// The inherited state is stored as JSON and read by the successor process, which may be of another
// version: the stored names and their order must not follow the names of the Go fields. inherit.Link
// embeds ConnStats, whose fields are then written inline.
func TestStoredFormIsStable(t *testing.T) {
	type link struct {
		Addr string
		ConnStats
	}
	for want, value := range map[string]any{
		`{"Turn":1000000,"Clean":2,"Need":3}`:              ConnStats{time.Millisecond, 2, 3, 0},
		`{"Turn":0,"Clean":2,"Need":3,"Suspect":1000000}`:  ConnStats{0, 2, 3, time.Millisecond},
		`{"Used":[8,4],"Broke":[0,1]}`:                     IdleStats{[]float64{8, 4}, []float64{0, 1}},
		`{"Used":null,"Broke":null}`:                       IdleStats{},
		`{"Addr":"a:1","Turn":1000000,"Clean":2,"Need":3}`: link{"a:1", ConnStats{time.Millisecond, 2, 3, 0}},
	} {
		if got, err := json.Marshal(value); err != nil || string(got) != want {
			t.Errorf("%T is written as %s, %v; want %s", value, got, err, want)
		}
	}
}
