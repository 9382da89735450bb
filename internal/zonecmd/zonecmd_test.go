package zonecmd

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"linenloom/internal/mgmt"
	"linenloom/internal/zones"
)

// Each case is a command line, its exit status, texts in its output and errors, and the override that it requests.
func TestCommands(t *testing.T) {
	asked := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(mgmt.View{Name: "n0", Leads: true, Epoch: 7, Members: []mgmt.MemberView{
			{Name: "n0", Zone: "a", State: "there", Sights: []zones.ZoneStats{{Judged: 9, Bad: 4}}}, {Name: "n1", Number: 1, Zone: "b", Program: "beef", Settings: "cafe", State: "lost", Suspects: []int{0, 5}}},
			Zones: []mgmt.ZoneView{{Name: "a", State: "returning", Share: 0.3, LocalShare: 0.25, Mode: "auto", RequestedBy: "ann", AtMS: 1000}}})
	})
	mux.HandleFunc("PUT /zones/{mode}", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		asked = r.PathValue("mode") + " " + string(body)
		switch {
		case strings.HasPrefix(string(body), "z "):
			http.Error(w, `no zone or region has the name "z"`, http.StatusNotFound)
		case strings.HasPrefix(string(body), "b "):
			json.NewEncoder(w).Encode(mgmt.CallReport{Notified: []string{"n0"}, Missed: []string{"n1"}})
		default:
			json.NewEncoder(w).Encode(mgmt.CallReport{Notified: []string{"n1", "n0"}})
		}
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	addr := s.Listener.Addr().String()
	for line, c := range map[string]struct {
		status            int
		out, errs, asking string
	}{
		"zone":                                {2, "", "usage: linenloom zone", ""},
		"zone off -mgmt " + addr:              {2, "", "usage: linenloom zone", ""},
		"zone out -mgmt " + addr + " -zone a": {2, "", "-who is missing", ""},
		"zone out -mgmt " + addr + " -zone a -who ann":                        {0, "a out; told: n0, n1", "", "out a ann"},
		"zone auto -mgmt " + addr + " -zone b -who ann":                       {1, "told: n0", "could not be reached, and will get the change once they are heard again: n1", "auto b ann"},
		"zone hold -mgmt " + addr + " -zone z -who ann":                       {1, "", `404 Not Found: no zone or region has the name "z"`, "hold z ann"},
		"zone out -mgmt " + addr + " -zone a -who " + strings.Repeat("x", 40): {1, "", "-who is longer than 32 bytes", ""},
		"zone show -mgmt " + addr:                                             {0, "a     returning  0.30   0.25  auto     ann  1970-01-01T00:00:01Z", "", ""},
		"members -mgmt " + addr:                                               {0, "n1    b     beef     cafe      1970-01-01T00:00:00Z  lost   0s     0      0 5", "", ""},
		"members":                                                             {2, "", "-mgmt is missing", ""},
		"members -mgmt 127.0.0.1:1":                                           {1, "", "connection refused", ""},
	} {
		var out, errs strings.Builder
		words := strings.Fields(line)
		run := runZone
		if words[0] == "members" {
			run = runMembers
		}
		asked = ""
		status := run(words[1:], &out, &errs)
		if status != c.status || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.errs) || asked != c.asking {
			t.Errorf("%s: status %d, asked %q\n%s%s", line, status, asked, out.String(), errs.String())
		}
	}
}
