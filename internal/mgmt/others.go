package mgmt

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"linenloom/internal/zones"
)

// Instances is the view of all instances of the installation, and the calls that apply to all of them.
type Instances interface {
	View() View
	// SetZoneMode applies an operator's call for a zone or region on this instance, and notifies the
	// others.
	SetZoneMode(name string, mode zones.Mode, who string) (CallReport, error)
}

// View is the list of instances and the state of zones.
type View struct {
	Name    string       `json:"name"`
	Number  int          `json:"number"`
	Leads   bool         `json:"leads"`  // it decides for all instances
	Leader  int          `json:"leader"` // number of the instance whose decisions are in force
	Epoch   uint64       `json:"epoch"`
	Members []MemberView `json:"members"`
	Zones   []ZoneView   `json:"zones"`
}

// MemberView is an instance as this one sees it.
type MemberView struct {
	Name     string            `json:"name"`
	Number   int               `json:"number"`
	Zone     string            `json:"zone"`
	SinceMS  int64             `json:"since_ms"` // Unix milliseconds
	Program  string            `json:"program"`  // digest of the program
	Settings string            `json:"settings"` // digest of the settings
	State    string            `json:"state"`    // there, suspected or lost
	HeardMS  int64             `json:"heard_ms"` // time since the last message; -1: never
	Epoch    uint64            `json:"epoch"`    // epoch of the decisions that it follows
	Suspects []int             `json:"suspects"` // numbers of the instances that it receives no messages from
	Sights   []zones.ZoneStats `json:"sees"`     // observations by zone
}

// ZoneView is the state of a zone.
type ZoneView struct {
	Name           string  `json:"name"`
	State          string  `json:"state"`
	Share          float64 `json:"share"` // share of its work that the fleet sends there
	LocalShare     float64 `json:"here"`  // share that this instance sends there now
	Mode           string  `json:"hand"`  // mode set by an operator: auto, out or hold
	RequestedBy    string  `json:"who"`
	AtMS           int64   `json:"at_ms"`
	CalledInstance int     `json:"called"` // number of the instance that received the call
}

// CallReport lists the instances that were notified of a call, and those that were not.
type CallReport struct {
	Notified []string `json:"told"`
	Missed   []string `json:"missed"` // they are notified once they are reachable again
}

// HandleInstances registers the calls that concern all instances. It must be called before Serve.
func (f *Front) HandleInstances(o Instances) {
	f.mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, o.View())
	})
	for path, mode := range map[string]zones.Mode{"out": zones.ModeOut, "hold": zones.ModeHold, "auto": zones.ModeAuto} {
		f.mux.HandleFunc("PUT /zones/"+path, func(w http.ResponseWriter, r *http.Request) { f.zone(o, mode, w, r) })
	}
}

// zone handles a call for a zone. The body is the name of the zone, followed by the name of the operator.
func (f *Front) zone(o Instances, mode zones.Mode, w http.ResponseWriter, r *http.Request) {
	text, ok := readBody(w, r, "a zone and who asks")
	if !ok {
		return
	}
	name, who, _ := strings.Cut(text, " ")
	if who = strings.TrimSpace(who); name == "" || who == "" || len(who) > zones.MaxRequesterLen {
		http.Error(w, fmt.Sprintf("the body is a zone or region and who asks, in up to %d bytes", zones.MaxRequesterLen), http.StatusBadRequest)
		return
	}
	report, err := o.SetZoneMode(name, mode, who)
	switch {
	case errors.Is(err, zones.ErrNoZoneLeft):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	f.log.Info("zone mode set by operator", "zone", name, "mode", mode.String(), "who", who, "told", len(report.Notified), "missed", report.Missed)
	writeJSON(w, report)
}
