package discovery

import (
	"bytes"
	"encoding/json"
)

// salvageDrains are the entries that stand whole in a line that breaks off or can't be read to its end, and say that a member drains or is
// gone. They have been told, though the rest has not; to go on sending there until the difference has been asked for would break
// what they say. Nothing else is taken of such a line: not its revision, nor any member that it brings or would leave out. Where the
// revision stands behind the members, it may not have come: what drained at any time does not come back under its id, so an entry of
// a line that is not newer would do no harm.
func salvageDrains(line []byte, known int64) (out []Member) {
	in := json.NewDecoder(bytes.NewReader(line))
	if t, err := in.Token(); err != nil || t != json.Delim('{') {
		return nil
	}
	var revision int64
	dated := false
	for in.More() {
		name, err := in.Token()
		if err != nil {
			return nil
		}
		switch name {
		case "revision":
			if in.Decode(&revision) != nil {
				return nil
			}
			dated = true
		case "members":
			if t, err := in.Token(); err != nil || t != json.Delim('[') || dated && revision <= known {
				return nil // what is not newer may have been overtaken
			}
			for in.More() {
				var m Member
				if in.Decode(&m) != nil {
					return out
				}
				if m.ID != "" && (m.Phase == PhaseTerminating || m.Phase == PhaseTerminated) {
					out = append(out, m)
				}
			}
			return out
		default:
			var skip json.RawMessage
			if in.Decode(&skip) != nil {
				return nil
			}
		}
	}
	return nil
}
