package discovery

import (
	"bytes"
	"encoding/json"
)

// salvageDrains returns the complete entries of a truncated or unreadable line that report a member as
// draining or gone. These entries have been announced, although the rest of the line has not: requests
// sent to such a member until the difference is fetched would violate them. Nothing else of the line is
// used: not its revision, and no member that it adds or omits. If the revision follows the members, it
// may not have arrived; entries of a line that is not newer do no harm, because a member that has drained
// never returns under its id.
func salvageDrains(line []byte, knownRevision int64) (drained []Member) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	if t, err := decoder.Token(); err != nil || t != json.Delim('{') {
		return nil
	}
	var revision int64
	revisionRead := false
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil
		}
		switch name {
		case "revision":
			if decoder.Decode(&revision) != nil {
				return nil
			}
			revisionRead = true
		case "members":
			if t, err := decoder.Token(); err != nil || t != json.Delim('[') || revisionRead && revision <= knownRevision {
				return nil // newer changes may have replaced those of a line that is not newer
			}
			for decoder.More() {
				var m Member
				if decoder.Decode(&m) != nil {
					return drained
				}
				if m.ID != "" && (m.Phase == PhaseTerminating || m.Phase == PhaseTerminated) {
					drained = append(drained, m)
				}
			}
			return drained
		default:
			var skip json.RawMessage
			if decoder.Decode(&skip) != nil {
				return nil
			}
		}
	}
	return nil
}
