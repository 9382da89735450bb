package extproc

import (
	"strings"

	"linenloom/logic"
)

// Response holds what a caller reports about the response to its attempt.
type Response struct {
	Status       int
	NotProcessed bool   // the member reports that the request never ran (X-Not-Processed: 1)
	Overloaded   bool   // the caller itself rejected the attempt (x-envoy-overloaded)
	Details      string // response.code_details, if the caller sends the attribute
	Origin       bool   // the attempt went to the origin
	MissStatus   int    // the status that means a cache does not have the key
}

// Outcome returns the status of the attempt. A response that is possible both for an attempt that ran and
// for one that did not counts as one that may have run.
func (r Response) Outcome() logic.Status {
	local := r.Details != "" && r.Details != "via_upstream"
	switch {
	case r.Overloaded:
		return logic.StatusNoConn
	case local && (strings.Contains(r.Details, "no_healthy_upstream") || strings.Contains(r.Details, "overflow") ||
		strings.Contains(r.Details, "cluster_not_found")):
		return logic.StatusNoConn
	case local && strings.Contains(r.Details, "connection_failure"):
		// "upstream_reset_before_response_started{remote_connection_failure...}": the connection was never
		// established.
		return logic.StatusConnectFailed
	case local && strings.Contains(r.Details, "timeout"):
		return logic.StatusTimeout
	case local && r.Status >= 500:
		return logic.StatusReset
	case r.Status >= 200 && r.Status < 300 || r.Status == 304:
		return logic.StatusOK
	case (r.Status == 503 || r.Status == 504) && r.NotProcessed:
		return logic.StatusFull
	case r.Status == r.MissStatus && !r.Origin:
		return logic.StatusMiss
	case r.Status >= 400 && r.Status < 500:
		return logic.StatusRejected
	}
	return logic.StatusError
}
