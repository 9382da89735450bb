package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Claim is one thing that a scenario says of the program, and whether it is kept.
type Claim struct {
	Name  string  `json:"claim"`
	Value float64 `json:"figure"`
	Bound string  `json:"bound"` // "" for a figure that is only told
	Holds bool    `json:"kept"`
}

// Report is a scenario's claims, with the figures that stand beside them.
type Report struct {
	Scenario string  `json:"scenario"`
	Claims   []Claim `json:"claims"`
}

// AtMost, AtLeast and Equal add claims; Tell adds a figure that nothing is claimed of.
func (r *Report) AtMost(claim string, figure, bound float64) {
	r.Claims = append(r.Claims, Claim{claim, figure, fmt.Sprintf("<= %g", bound), figure <= bound})
}

// AtLeast claims that the figure is not under the bound.
func (r *Report) AtLeast(claim string, figure, bound float64) {
	r.Claims = append(r.Claims, Claim{claim, figure, fmt.Sprintf(">= %g", bound), figure >= bound})
}

// Equal claims that the figure is exactly that.
func (r *Report) Equal(claim string, figure, want float64) {
	r.Claims = append(r.Claims, Claim{claim, figure, fmt.Sprintf("= %g", want), figure == want})
}

// AddValue adds a figure.
func (r *Report) AddValue(what string, figure float64) {
	r.Claims = append(r.Claims, Claim{what, figure, "", true})
}

// AllHold tells whether all claims are kept.
func (r *Report) AllHold() bool {
	for _, c := range r.Claims {
		if !c.Holds {
			return false
		}
	}
	return true
}

// Print writes the table, or JSON.
func (r *Report) Print(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "claim\tfigure\tbound\tkept")
	for _, c := range r.Claims {
		kept := "yes"
		switch {
		case c.Bound == "":
			kept = ""
		case !c.Holds:
			kept = "NO"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\n", c.Name, c.Value, c.Bound, kept)
	}
	return t.Flush()
}
