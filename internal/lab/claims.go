package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Claim is one statement that a scenario checks about the program, and whether it holds.
type Claim struct {
	Name  string  `json:"claim"`
	Value float64 `json:"figure"`
	Bound string  `json:"bound"` // "" for a value without a claim
	Holds bool    `json:"kept"`
}

// Report lists the claims of a scenario together with values that carry no claim.
type Report struct {
	Scenario string  `json:"scenario"`
	Claims   []Claim `json:"claims"`
}

// AtMost claims that the value does not exceed the bound.
func (r *Report) AtMost(claim string, figure, bound float64) {
	r.Claims = append(r.Claims, Claim{claim, figure, fmt.Sprintf("<= %g", bound), figure <= bound})
}

// AtLeast claims that the value is not below the bound.
func (r *Report) AtLeast(claim string, figure, bound float64) {
	r.Claims = append(r.Claims, Claim{claim, figure, fmt.Sprintf(">= %g", bound), figure >= bound})
}

// Equal claims that the value equals want.
func (r *Report) Equal(claim string, figure, want float64) {
	r.Claims = append(r.Claims, Claim{claim, figure, fmt.Sprintf("= %g", want), figure == want})
}

// AddValue adds a value that is reported without a claim.
func (r *Report) AddValue(what string, figure float64) {
	r.Claims = append(r.Claims, Claim{what, figure, "", true})
}

// AllHold reports whether every claim holds.
func (r *Report) AllHold() bool {
	for _, c := range r.Claims {
		if !c.Holds {
			return false
		}
	}
	return true
}

// Print writes the report as a table or as JSON.
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
