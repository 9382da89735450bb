package operator

import "linenloom/internal/joining"

// Joining lets identical outstanding reads share one attempt (docs/joining.md). Setting it permits one
// answer to serve several requests.
type Joining struct {
	Followers          int  `toml:"followers"`
	FollowersPerTenant int  `toml:"followers_per_tenant" json:"PerTenant"`
	Groups             int  `toml:"flights" json:"Flights"`
	AcrossTenants      bool `toml:"across_tenants"`
}

var joiningDefaults = Joining{Followers: 16384, FollowersPerTenant: 4096, Groups: 4096}

// Limits converts the limits to package joining's type.
func (j *Joining) Limits() *joining.Limits {
	return &joining.Limits{Followers: j.Followers, PerTenant: j.FollowersPerTenant, Groups: j.Groups, AcrossTenants: j.AcrossTenants}
}

func (d *decoder) checkJoining(j *Joining) {
	d.checkInt("joining.followers", j.Followers, 1, 1<<20)
	d.checkInt("joining.followers_per_tenant", j.FollowersPerTenant, 1, 1<<20)
	d.checkInt("joining.flights", j.Groups, 1, 1<<20)
}
