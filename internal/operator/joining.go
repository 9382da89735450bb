package operator

import "linenloom/internal/joining"

// Joining has identical reads in flight share one attempt (docs/joining.md). It says that an answer may serve several requests.
type Joining struct {
	Followers          int  `toml:"followers"`
	FollowersPerTenant int  `toml:"followers_per_tenant" json:"PerTenant"`
	Groups             int  `toml:"flights" json:"Flights"`
	AcrossTenants      bool `toml:"across_tenants"`
}

var joiningDefaults = Joining{Followers: 16384, FollowersPerTenant: 4096, Groups: 4096}

// Limits are in the deciding module's terms.
func (j *Joining) Limits() *joining.Limits {
	return &joining.Limits{Followers: j.Followers, PerTenant: j.FollowersPerTenant, Groups: j.Groups, AcrossTenants: j.AcrossTenants}
}

func (d *decoder) checkJoining(j *Joining) {
	d.checkInt("joining.followers", j.Followers, 1, 1<<20)
	d.checkInt("joining.followers_per_tenant", j.FollowersPerTenant, 1, 1<<20)
	d.checkInt("joining.flights", j.Groups, 1, 1<<20)
}
