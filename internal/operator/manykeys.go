package operator

import "linenloom/internal/manykeys"

// ManyKeys has OBJ.MGET taken (docs/many-keys.md).
type ManyKeys struct {
	Keys  int `toml:"keys" json:"Keys"`
	Bytes int `toml:"bytes" json:"Bytes"`
	Out   int `toml:"out" json:"Out"`
	Part  int `toml:"part" json:"Part"`
}

var manyKeysDefaults = ManyKeys{Keys: 256, Bytes: 4 << 20, Out: 64, Part: 16}

// Limits are in the deciding module's terms.
func (m *ManyKeys) Limits() *manykeys.Limits {
	return &manykeys.Limits{Keys: m.Keys, Bytes: m.Bytes, Outstanding: m.Out, PartSize: m.Part}
}

func (d *doc) checkManyKeys(m *ManyKeys) {
	d.number("many_keys.keys", m.Keys, 1, 4096)
	d.number("many_keys.bytes", m.Bytes, 1024, 64<<20)
	d.number("many_keys.out", m.Out, 1, 1024)
	d.number("many_keys.part", m.Part, 1, 256)
}
