package operator

import "linenloom/internal/manykeys"

// ManyKeys enables OBJ.MGET (docs/many-keys.md).
type ManyKeys struct {
	MaxKeys        int `toml:"keys" json:"Keys"`
	MaxBytes       int `toml:"bytes" json:"Bytes"`
	MaxOutstanding int `toml:"out" json:"Out"`
	PartSize       int `toml:"part" json:"Part"`
}

var manyKeysDefaults = ManyKeys{MaxKeys: 256, MaxBytes: 4 << 20, MaxOutstanding: 64, PartSize: 16}

// Limits converts the limits to package manykeys's type.
func (m *ManyKeys) Limits() *manykeys.Limits {
	return &manykeys.Limits{Keys: m.MaxKeys, Bytes: m.MaxBytes, Outstanding: m.MaxOutstanding, PartSize: m.PartSize}
}

func (d *decoder) checkManyKeys(m *ManyKeys) {
	d.checkInt("many_keys.keys", m.MaxKeys, 1, 4096)
	d.checkInt("many_keys.bytes", m.MaxBytes, 1024, 64<<20)
	d.checkInt("many_keys.out", m.MaxOutstanding, 1, 1024)
	d.checkInt("many_keys.part", m.PartSize, 1, 256)
}
