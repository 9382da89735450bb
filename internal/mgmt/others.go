package mgmt

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"linenloom/internal/zones"
)

// Others are the other instances of the installation, as operators may look at them and call them together.
type Others interface {
	View() View
	// Zone carries an operator's call for a zone or region out here, and tells the others.
	Zone(name string, mode zones.Mode, who string) (Told, error)
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
	Name     string            `json:"name"`
	Number   int               `json:"number"`
	Zone     string            `json:"zone"`
	Since    int64             `json:"since_ms"` // Unix milliseconds
	Program  string            `json:"program"`  // digests: what it runs
	Settings string            `json:"settings"`
	State    string            `json:"state"`    // there, suspected, lost
	HeardMS  int64             `json:"heard_ms"` // ago; -1: never
	Epoch    uint64            `json:"epoch"`    // that it goes by
	Suspects []int             `json:"suspects"` // the numbers of those that it does not hear
	Sees     []zones.ZoneStats `json:"sees"`     // by zone
}

// ZoneView is what holds for a zone.
type ZoneView struct {
	Name  string  `json:"name"`
	State string  `json:"state"`
	Share float64 `json:"share"` // of its work, for the fleet
	Here  float64 `json:"here"`  // and from this instance now
	Hand  string  `json:"hand"`  // what an operator asked for: auto, out, hold
	Who   string  `json:"who"`
	At    int64   `json:"at_ms"`
	By    int     `json:"called"` // the number of the instance that was called
}

// Told is who has been told of a call.
type Told struct {
	Told   []string `json:"told"`
	Missed []string `json:"missed"` // they learn of it as soon as they are heard again
}

// KnowsOthers has operators' calls reach the other instances. It comes before Serve.
func (f *Front) KnowsOthers(o Others) {
	f.mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		answer(w, o.View())
	})
	for path, mode := range map[string]zones.Mode{"out": zones.ModeOut, "hold": zones.ModeHold, "auto": zones.ModeAuto} {
		f.mux.HandleFunc("PUT /zones/"+path, func(w http.ResponseWriter, r *http.Request) { f.zone(o, mode, w, r) })
	}
}

// zone takes a call for a zone: the body is its name, and then who asks.
func (f *Front) zone(o Others, mode zones.Mode, w http.ResponseWriter, r *http.Request) {
	text, ok := body(w, r, "a zone and who asks")
	if !ok {
		return
	}
	name, who, _ := strings.Cut(text, " ")
	if who = strings.TrimSpace(who); name == "" || who == "" || len(who) > zones.MaxRequesterLen {
		http.Error(w, fmt.Sprintf("the body is a zone or region and who asks, in up to %d bytes", zones.MaxRequesterLen), http.StatusBadRequest)
		return
	}
	told, err := o.Zone(name, mode, who)
	switch {
	case errors.Is(err, zones.ErrNoZoneLeft):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	f.log.Info("zone by hand", "zone", name, "mode", mode.String(), "who", who, "told", len(told.Told), "missed", told.Missed)
	answer(w, told)
}
