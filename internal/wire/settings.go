package wire

import (
	"encoding/json"
	"fmt"

	"linenloom/logic"
)

// settingsJSON is the part of the simulator's settings object that is used. Other keys are ignored.
type settingsJSON struct {
	Areas     []string `json:"areas"`
	Zone      int      `json:"az"`
	Instances int      `json:"instances"`
	SelfIndex int      `json:"self_index"`
	Discovery string   `json:"discovery"`
	TickMS    float64  `json:"granularity_ms"`
	OverShare float64  `json:"over_share_worth"`
	Weights   string   `json:"weights"`
	Classes   []struct {
		Name       string  `json:"name"`
		AimMS      float64 `json:"aim_ms"`
		AimStretch float64 `json:"aim_stretch"`
		DeadlineMS float64 `json:"deadline_ms"`
		Repeat     string  `json:"repeat"`
		Scope      string  `json:"dedup_scope"`
		LateWorth  float64 `json:"late_worth"`
		Worth      float64 `json:"worth"`
		Streamed   bool    `json:"streamed"`
		WindowMS   float64 `json:"window_ms"`
	} `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
		Share float64 `json:"share"`
	} `json:"tenants"`
	Deductions struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"deductions"`
	Family struct {
		Mode         string  `json:"mode"`
		OriginKind   *int    `json:"origin_kind"`
		FallMultiple float64 `json:"origin_fall_multiple"`
		FallMS       float64 `json:"origin_fall_ms"`
	} `json:"family_info"`
	Limits struct {
		Cancel        bool    `json:"cancel"`
		ConnectMS     float64 `json:"connect_timeout_ms"`
		TryLimit      int     `json:"try_limit"`
		Peers         bool    `json:"peer_messages"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
		MaxRetryAfter float64 `json:"max_retry_after_ms"`
		SecondCopies  bool    `json:"second_copies"`
	} `json:"limits"`
	Report struct {
		Columns []string `json:"columns"`
	} `json:"report"`
	Rules struct {
		ColdFrom     float64 `json:"cold_from"`
		ColdMS       float64 `json:"cold_ms"`
		FallMultiple float64 `json:"fall_multiple"`
		GraceMS      float64 `json:"grace_to_answer_ms"`
		MustAskMS    float64 `json:"must_ask_in_ms"`
		TipMS        float64 `json:"tip_after_ms"`
	} `json:"rules"`
}

// ParseSettings parses the settings of an Init event.
func ParseSettings(text []byte) (logic.Settings, error) {
	var p settingsJSON
	if err := json.Unmarshal(text, &p); err != nil {
		return logic.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := logic.Settings{
		SelfIndex: p.SelfIndex, Instances: p.Instances, Zone: p.Zone, Zones: len(p.Areas),
		Mode: logic.ReadThrough, OriginKind: -1, Subscribe: p.Discovery == "subscribe",
		MaxEventDelay: millis(p.TickMS), MaxAttempts: p.Limits.TryLimit, ConcurrentAttempts: p.Limits.SecondCopies,
		CanCancel: p.Limits.Cancel, CanProbe: p.Limits.Probes, CanMessagePeers: p.Limits.Peers,
		CanRetryAfter: p.Limits.RetryAfter, MaxRetryAfter: millis(p.Limits.MaxRetryAfter),
		ConnectTimeout: millis(p.Limits.ConnectMS), AnswerGrace: millis(p.Rules.GraceMS),
		MaxPollInterval: millis(p.Rules.MustAskMS), SlowStartCapacity: p.Rules.ColdFrom, SlowStartDuration: millis(p.Rules.ColdMS),
		OverloadMultiple: p.Rules.FallMultiple, OverloadDuration: millis(p.Rules.TipMS),
		OriginOverloadMultiple: p.Family.FallMultiple, OriginOverloadDuration: millis(p.Family.FallMS),
		CrossZoneCost: p.Deductions.CrossZone, OverShareValue: p.OverShare,
	}
	if p.Family.Mode == "aside" {
		s.Mode = logic.CacheAside
	}
	if p.Family.OriginKind != nil {
		s.OriginKind = *p.Family.OriginKind
	}
	s.Weights = map[string]logic.Weights{
		"nominal": logic.WeightsNominal, "rough": logic.WeightsRough, "live": logic.WeightsLive,
	}[p.Weights]
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, logic.Class{
			Name: c.Name, SoftDeadline: millis(c.AimMS), SoftDeadlineCostFactor: c.AimStretch, Deadline: millis(c.DeadlineMS),
			Value: c.Worth, LateValue: c.LateWorth, Stream: c.Streamed, DedupWindow: millis(c.WindowMS),
			Effect: effect(c.Repeat), Scope: scope(c.Scope),
		})
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	for _, c := range p.Report.Columns {
		s.ReportColumns = append(s.ReportColumns, column(c))
	}
	return s, nil
}

// effect maps a word to an Effect. An unknown word gives the strictest one.
func effect(word string) logic.Effect {
	switch word {
	case "repeatable":
		return logic.Repeatable
	case "by_key":
		return logic.DeduplicatedByKey
	}
	return logic.AtMostOnce
}

// scope maps a word to a Scope. An unknown word gives the narrowest one.
func scope(word string) logic.Scope {
	switch word {
	case "all", "":
		return logic.ScopeAll
	case "zone":
		return logic.ScopeZone
	}
	return logic.ScopeCell
}

func column(word string) string {
	switch word {
	case "concurrent":
		return logic.ColumnInflight
	case "mean_ms":
		return logic.ColumnLatency
	}
	return word
}
