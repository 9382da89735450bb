package mgmt

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"linenloom/internal/zones"
)

// Instances are the other instances of the installation, as operators may look at them and call them together.
type Instances interface {
	View() View
	// SetZoneMode carries an operator's call for a zone or region out here, and tells the others.
	SetZoneMode(name string, mode zones.Mode, who string) (CallReport, error)
}

// View is who is there and what holds.
type View struct {
	Name    string       `json:"name"`
	Number  int          `json:"number"`
	Leads   bool         `json:"leads"`  // it decides for all
	Leader  int          `json:"leader"` // the number of who decided what holds
	Epoch   uint64       `json:"epoch"`
	Members []MemberView `json:"members"`
	Zones   []ZoneView   `json:"zones"`
}

// MemberView is an instance as this one knows it.
type MemberView struct {
	Name     string        `json:"name"`
	Number   int           `json:"number"`
	Zone     string        `json:"zone"`
	SinceMS  int64         `json:"since_ms"` // Unix milliseconds
	Program  string        `json:"program"`  // digests: what it runs
	Settings string        `json:"settings"`
	State    string        `json:"state"`    // there, suspected, lost
	HeardMS  int64         `json:"heard_ms"` // ago; -1: never
	Epoch    uint64        `json:"epoch"`    // that it goes by
	Suspects []int         `json:"suspects"` // the numbers of those that it does not hear
	Sights   []zones.Sight `json:"sees"`     // by zone
}

// ZoneView is what holds for a zone.
type ZoneView struct {
	Name           string  `json:"name"`
	State          string  `json:"state"`
	Share          float64 `json:"share"` // of its work, for the fleet
	LocalShare     float64 `json:"here"`  // and from this instance now
	Mode           string  `json:"hand"`  // what an operator asked for: auto, out, hold
	RequestedBy    string  `json:"who"`
	AtMS           int64   `json:"at_ms"`
	CalledInstance int     `json:"called"` // the number of the instance that was called
}

// CallReport is who has been told of a call.
type CallReport struct {
	Notified []string `json:"told"`
	Missed   []string `json:"missed"` // they learn of it as soon as they are heard again
}

// HandleInstances has operators' calls reach the other instances. It comes before Serve.
func (f *Front) HandleInstances(o Instances) {
	f.mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, o.View())
	})
	for path, mode := range map[string]zones.Mode{"out": zones.Away, "hold": zones.Hold, "auto": zones.Auto} {
		f.mux.HandleFunc("PUT /zones/"+path, func(w http.ResponseWriter, r *http.Request) { f.zone(o, mode, w, r) })
	}
}

// zone takes a call for a zone: the body is its name, and then who asks.
func (f *Front) zone(o Instances, mode zones.Mode, w http.ResponseWriter, r *http.Request) {
	text, ok := readBody(w, r, "a zone and who asks")
	if !ok {
		return
	}
	name, who, _ := strings.Cut(text, " ")
	if who = strings.TrimSpace(who); name == "" || who == "" || len(who) > zones.MostWho {
		http.Error(w, fmt.Sprintf("the body is a zone or region and who asks, in up to %d bytes", zones.MostWho), http.StatusBadRequest)
		return
	}
	told, err := o.SetZoneMode(name, mode, who)
	switch {
	case errors.Is(err, zones.ErrNothingLeft):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	f.log.Info("zone by hand", "zone", name, "mode", mode.String(), "who", who, "told", len(told.Notified), "missed", told.Missed)
	writeJSON(w, told)
}
