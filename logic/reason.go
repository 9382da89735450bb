package logic

// Reason tells why a request waits, is refused or fails. Each such decision has one; hosts count them.
type Reason uint8

// The reasons. Each identifier follows the name that String returns, which clients and logs see. A refusal
// or failure carries the reason for which no further attempt was made; which of the two it is depends on
// whether an attempt may have run.
const (
	NoReason     Reason = iota
	NoMember            // no member that could take the request is ready
	NoRoom              // every candidate has reached its concurrency limit
	NoConnection        // no free connection to any candidate, nor soon; as a wait: the request is retried
	ColdBudget          // only cold members remain, and their budget is used up
	Throttled           // the caches answer too few of their attempts
	RetryBudget         // retries have used up their share of the requests
	OriginLine          // the origin queue is too long to be served in time; as a wait: the request is queued
	OutOfTime           // the deadline has passed or is too close for another attempt
	OutOfTries          // the request has used all its attempts
	MayHaveRun          // an attempt may have run, and another one could run the request twice
	Rejected            // a member considers the request invalid
	SharedFetch         // as a wait: another request is fetching the key
	InTransit           // as a wait: an earlier attempt was given up and may still arrive at its member
	ReasonCount         // number of reasons
)

var reasonNames = [ReasonCount]string{"none", "no_member", "no_room", "no_connection", "cold_budget", "throttled", "retry_budget", "origin_line",
	"out_of_time", "out_of_tries", "may_have_run", "rejected", "shared_fetch", "in_transit"}

func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}
