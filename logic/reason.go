package logic

// Reason says why a request waits, is refused or fails. The module gives one with each such decision; hosts count them.
type Reason uint8

// The reasons. A refusal or a failure has the reason for which nothing further was tried; whether it is the one or the
// other depends on whether an attempt may have run.
const (
	NoReason     Reason = iota
	NoMember            // no member that could take it is ready
	NoRoom              // every candidate has as much out as its limit allows
	NoConnection        // this proxy has no connection free to any candidate, nor soon; as a wait: it looks again
	ColdBudget          // only cold members are left, and their budget is spent
	Throttled           // the caches answer too little of what they are asked
	RetryBudget         // further attempts have used their share of the requests up
	OriginLine          // the line for the origin is too long to be through in time; as a wait: it stands in line
	OutOfTime           // its time is over, or too little is left for another attempt
	OutOfTries          // it has had all of its attempts
	MayHaveRun          // an attempt may have run, and another one could run it twice
	Rejected            // a member finds fault with the request itself
	SharedFetch         // as a wait: another request's fetch of the key is out
	InTransit           // as a wait: an earlier attempt was given up, and may still come at its member
	ReasonCount         // how many there are
)

var reasonNames = [ReasonCount]string{"none", "no_member", "no_room", "no_connection", "cold_budget", "throttled", "retry_budget", "origin_line",
	"out_of_time", "out_of_tries", "may_have_run", "rejected", "shared_fetch", "in_transit"}

func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}
