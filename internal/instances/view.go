package instances

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"linenloom/internal/app"
	"linenloom/internal/mgmt"
	"linenloom/internal/zones"
	"linenloom/logic"
)

var _ app.Fleet = (*Instances)(nil)

// View returns the members and the state of the zones, as known to this instance.
func (i *Instances) View() mgmt.View {
	i.mu.Lock()
	defer i.mu.Unlock()
	v := mgmt.View{Name: i.self.Name, Number: i.self.Number, Leads: i.leading, Members: []mgmt.MemberView{}, Zones: []mgmt.ZoneView{}}
	reports := map[int]zones.Report{}
	if m := i.options.Machine; m != nil {
		verdict, overrides := m.Verdict(), m.Overrides()
		v.Leader, v.Epoch = verdict.DecidedBy, verdict.Epoch
		for z, name := range i.options.Zones {
			here, _ := m.Share(z)
			v.Zones = append(v.Zones, mgmt.ZoneView{Name: name, State: verdict.Zones[z].State.String(), Share: float64(verdict.Zones[z].Share) / zones.FullShare,
				LocalShare: here, Mode: overrides[z].Mode.String(), RequestedBy: overrides[z].Requester, AtMS: overrides[z].TimestampMS, CalledInstance: overrides[z].ReceivedBy})
		}
		for _, r := range append(m.PeerReports(), m.OwnReport()) {
			reports[r.Number] = r
		}
	}
	add := func(m meta, state string, heard int64) {
		r := reports[m.Number]
		v.Members = append(v.Members, mgmt.MemberView{Name: m.Name, Number: m.Number, Zone: m.Zone, SinceMS: m.StartedAtMS,
			Program: m.Version.Program, Settings: m.Version.Settings, State: state, HeardMS: heard, Epoch: r.Epoch,
			Suspects: append([]int{}, r.Suspects...), Sights: append([]zones.ZoneStats{}, r.Zones...)})
	}
	add(i.self, "there", 0)
	for _, m := range i.otherMembers() {
		add(m.meta, m.state(), time.Since(m.lastHeard).Milliseconds())
	}
	slices.SortFunc(v.Members, func(a, b mgmt.MemberView) int { return a.Number - b.Number })
	return v
}

// SetZoneMode applies an operator's override for a zone or region at this instance and sends it to the others.
// Those that cannot be reached now receive it with a later message.
func (i *Instances) SetZoneMode(name string, mode zones.Mode, who string) (report mgmt.CallReport, err error) {
	if i.options.Machine == nil {
		return report, fmt.Errorf("[zones] is not in the operator's file")
	}
	zoneIndexes := i.options.Regions[name]
	if z := slices.Index(i.options.Zones, name); z >= 0 {
		zoneIndexes = []int{z}
	}
	if len(zoneIndexes) == 0 {
		return report, fmt.Errorf("no zone or region has the name %q; there are %s", name, strings.Join(i.options.Zones, ", "))
	}
	i.mu.Lock()
	i.proxy.UpdateZoneShares(func(now time.Duration) []logic.ZoneShare {
		err = i.options.Machine.SetOverride(now, zones.Override{Mode: mode, TimestampMS: time.Now().UnixMilli(), Requester: who}, zoneIndexes...)
		return i.changedShares()
	})
	if err != nil {
		i.mu.Unlock()
		return report, err
	}
	msg := zones.Message{From: i.self.Number, Overrides: i.options.Machine.Overrides()}
	members := i.otherMembers()
	i.mu.Unlock()
	reached := i.sendReliably(members, msg.Append(nil))
	report = mgmt.CallReport{Notified: []string{i.self.Name}, Missed: []string{}}
	for _, m := range members {
		if reached[m.Name] {
			report.Notified = append(report.Notified, m.Name)
		} else {
			report.Missed = append(report.Missed, m.Name)
		}
	}
	return report, nil
}
