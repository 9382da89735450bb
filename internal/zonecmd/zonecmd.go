// Package zonecmd implements the operators' commands for the instances of an installation and for its
// zones. They call one instance at its mgmt address and take no part in serving.
package zonecmd

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"linenloom/internal/flags"
	"linenloom/internal/mgmt"
	"linenloom/internal/zones"
)

const (
	exitUsage      = 2
	requestTimeout = 5 * time.Second
)

const membersUsage = `usage: linenloom members -mgmt ADDR    list the instances, whom each does not hear, and its view of each zone
`

const zoneUsage = `usage: linenloom zone show -mgmt ADDR                       show the state of each zone
       linenloom zone out  -mgmt ADDR -zone ZONE -who NAME    stop sending to a zone or region, at all instances
       linenloom zone hold -mgmt ADDR -zone ZONE -who NAME    keep the zone or region in its state
       linenloom zone auto -mgmt ADDR -zone ZONE -who NAME    let the instances decide again; a zone that was out returns in steps
`

// Members runs the "members" command, which lists the instances.
func Members(args []string) int { return runMembers(args, os.Stdout, os.Stderr) }

// Zone runs the "zone" command, which shows the zones and sets overrides.
func Zone(args []string) int { return runZone(args, os.Stdout, os.Stderr) }

func runMembers(args []string, out, errs io.Writer) int {
	f := flag.NewFlagSet("members", flag.ContinueOnError)
	addr := f.String("mgmt", "", "the `ADDR` where the instance takes operators' calls")
	if status := parseFlags(f, errs, args, membersUsage, "mgmt"); status != 0 {
		return status
	}
	return exitStatus("members", errs, func() error {
		v, err := fetchView(*addr)
		if err != nil {
			return err
		}
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprint(t, "number\tname\tzone\tprogram\tsettings\tsince\tis\theard\tepoch\tdoes not hear")
		for _, z := range v.Zones {
			fmt.Fprintf(t, "\tsees of %s", z.Name)
		}
		fmt.Fprintln(t)
		for _, m := range v.Members {
			is := m.State
			if m.Number == v.Number && v.Leads {
				is = "leads"
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s", m.Number, m.Name, m.Zone, m.Program, m.Settings, formatTime(m.SinceMS), is, time.Duration(m.HeardMS)*time.Millisecond,
				m.Epoch, strings.Trim(fmt.Sprint(m.Suspects), "[]"))
			for _, s := range m.Sights {
				fmt.Fprintf(t, "\t%d of %d bad", s.Bad, s.Judged)
			}
			fmt.Fprintln(t)
		}
		return t.Flush()
	})
}

func runZone(args []string, out, errs io.Writer) int {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	f := flag.NewFlagSet("zone "+name, flag.ContinueOnError)
	addr := f.String("mgmt", "", "the `ADDR` where an instance takes operators' calls")
	which, who := f.String("zone", "", "the `ZONE` or region"), f.String("who", "", "who asks, for the log")
	must := []string{"mgmt"}
	switch name {
	case "show":
	case "out", "hold", "auto":
		must = append(must, "zone", "who")
	default:
		fmt.Fprint(errs, zoneUsage)
		return exitUsage
	}
	if status := parseFlags(f, errs, args[1:], zoneUsage, must...); status != 0 {
		return status
	}
	return exitStatus("zone "+name, errs, func() error {
		if name != "show" {
			return sendOverride(*addr, name, *which, *who, out)
		}
		v, err := fetchView(*addr)
		if err != nil {
			return err
		}
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "zone\tstate\tshare\there\tby hand\twho\tasked\tepoch %d, decided by %d\n", v.Epoch, v.Leader)
		for _, z := range v.Zones {
			asked := ""
			if z.AtMS > 0 {
				asked = formatTime(z.AtMS)
			}
			fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%s\t%s\t%s\t\n", z.Name, z.State, z.Share, z.LocalShare, z.Mode, z.RequestedBy, asked)
		}
		return t.Flush()
	})
}

func parseFlags(f *flag.FlagSet, errs io.Writer, args []string, usage string, must ...string) int {
	f.Usage = func() { fmt.Fprint(errs, usage) }
	if err := flags.Parse(f, errs, args, must...); err != nil {
		if !errors.Is(err, flags.ErrUsage) {
			fmt.Fprintf(errs, "linenloom %s: %v\n", f.Name(), err)
		}
		return exitUsage
	}
	return 0
}

func exitStatus(name string, errs io.Writer, do func() error) int {
	if err := do(); err != nil {
		fmt.Fprintf(errs, "linenloom %s: %v\n", name, err)
		return 1
	}
	return 0
}

func fetchView(addr string) (v mgmt.View, err error) {
	text, err := mgmt.CallOK(http.MethodGet, addr, "/members", "", requestTimeout)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(text, &v)
}

// sendOverride sets an override for a zone or region, and lists the instances that received it.
func sendOverride(addr, name, which, who string, out io.Writer) error {
	if len(who) > zones.MaxRequesterLen {
		return fmt.Errorf("-who is longer than %d bytes", zones.MaxRequesterLen)
	}
	text, err := mgmt.CallOK(http.MethodPut, addr, "/zones/"+name, which+" "+who, requestTimeout)
	if err != nil {
		return err
	}
	var told mgmt.CallReport
	if err := json.Unmarshal(text, &told); err != nil {
		return err
	}
	slices.Sort(told.Notified)
	fmt.Fprintf(out, "%s %s; told: %s\n", which, name, strings.Join(told.Notified, ", "))
	if len(told.Missed) > 0 {
		return fmt.Errorf("could not be reached, and will get the change once they are heard again: %s", strings.Join(told.Missed, ", "))
	}
	return nil
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
