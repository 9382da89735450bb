package operator

import "linenloom/internal/joining"

// Joining has identical reads in flight share one attempt (docs/joining.md). It says that an answer may serve several requests.
type Joining struct {
	Followers     int  `toml:"followers"`
	PerTenant     int  `toml:"followers_per_tenant" json:"PerTenant"`
	Flights       int  `toml:"flights" json:"Flights"`
	AcrossTenants bool `toml:"across_tenants"`
}

var joiningDefaults = Joining{Followers: 16384, PerTenant: 4096, Flights: 4096}

// Limits are in the deciding module's terms.
func (j *Joining) Limits() *joining.Limits {
	return &joining.Limits{Followers: j.Followers, PerTenant: j.PerTenant, Groups: j.Flights, AcrossTenants: j.AcrossTenants}
}

func (d *doc) checkJoining(j *Joining) {
	d.number("joining.followers", j.Followers, 1, 1<<20)
	d.number("joining.followers_per_tenant", j.PerTenant, 1, 1<<20)
	d.number("joining.flights", j.Flights, 1, 1<<20)
}
