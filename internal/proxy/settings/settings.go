// Package settings reads the settings object that the simulator's first message
// and a real node's configuration both hold, and turns it into the module's.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"moorstack/balancer"
)

// Settings is the object as the wire words it. It is read once for each start,
// so the standard library's decoder does.
type Settings struct {
	AZ      int `json:"az"`
	Me      int `json:"me"`
	Fleet   int `json:"fleet_size"`
	Classes []struct {
		Name       string   `json:"name"`
		Credit     float64  `json:"credit"`
		Effect     string   `json:"effect"`
		GiveUp     int64    `json:"give_up"`
		KeyScope   string   `json:"key_scope"`
		LateShare  float64  `json:"late_share"`
		SLO        int64    `json:"slo"`
		Stream     bool     `json:"stream"`
		Window     int64    `json:"window"`
		AimStretch *float64 `json:"aim_stretch"`
	} `json:"classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Share     float64 `json:"share"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Blend struct {
		Whole  float64 `json:"whole"`
		Class  float64 `json:"worst_class"`
		Tenant float64 `json:"worst_tenant"`
		Window float64 `json:"worst_window"`

		Punctual    float64 `json:"punctual"`
		MissAllowed float64 `json:"miss_allowed"`
	} `json:"blend"`
	Contract struct {
		AnswerSlack    int64   `json:"answer_slack"`
		AskEvery       int64   `json:"ask_every"`
		Cold           int64   `json:"cold"`
		ColdShare      float64 `json:"cold_share"`
		DrainGrace     int64   `json:"drain_grace"`
		Fall           int64   `json:"fall"`
		OverloadFactor float64 `json:"overload_factor"`
		BudgetSpan     int64   `json:"budget_span"`
		FreeResends    float64 `json:"free_resends"`
		RepeatRatio    float64 `json:"repeat_ratio"`
		FullUnproven   bool    `json:"full_unproven"`
	} `json:"contract"`
	Extra struct {
		ClassKind     []int     `json:"class_kind"`
		ClassPriority []int     `json:"class_priority"`
		ClassStretch  []float64 `json:"class_stretch"`
		Progress      int64     `json:"progress"`
		TellsStart    bool      `json:"tells_start"`
		ReportX0      string    `json:"report_x0"`
		ReportX1      string    `json:"report_x1"`
	} `json:"extra"`
	Granularity int64    `json:"granularity"`
	Kinds       []string `json:"kinds"`
	Zones       []string `json:"zones"`
	Limits      struct {
		Cancel         bool  `json:"cancel"`
		ConnIdle       int64 `json:"conn_idle"`
		ConnectTimeout int64 `json:"connect_timeout"`
		TryLimit       int   `json:"try_limit"`
		MaxRetryAfter  int64 `json:"max_retry_after"`
		Peers          bool  `json:"peers"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retry_after"`
		SecondCopies   bool  `json:"second_copies"`
	} `json:"limits"`
	MembershipMode string  `json:"membership_mode"`
	OverShare      float64 `json:"over_share_worth"`
	Prices         struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"cross_zone"`
		Handshake  float64 `json:"handshake"`
		LateFail   float64 `json:"late_fail"`
		Peer       float64 `json:"peer"`
		Probe      float64 `json:"probe"`
		Waste      float64 `json:"waste"`
	} `json:"prices"`
	Report struct {
		How string `json:"how"`
	} `json:"report"`
	Weights string `json:"weights"`
	WorthBy string `json:"worth_by"`
}

var (
	effects = map[string]balancer.Effect{"retryable": balancer.Safe, "dedup": balancer.Keyed, "fragile": balancer.Unsafe}
	scopes  = map[string]balancer.Scope{"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell}
	sizes = map[string]balancer.SizeMeaning{"": balancer.SizeNone, "silent": balancer.SizeNone,
		"nominal": balancer.SizeNominal, "rough": balancer.SizeRough, "live": balancer.SizeLive}
)

// ReportNames says in words what the two free values of a load report hold.
type ReportNames struct{ x0, x1 string }

// Names are the words for the free values.
func (p *Settings) Names() ReportNames { return ReportNames{p.Extra.ReportX0, p.Extra.ReportX1} }

// Set puts a value of a load report in its place. What the module has no place
// for is passed over. The settings and both wires use the same words: a real
// worker's report was seen to be "TEXT pending=0, served_ps=0, svc_ms=0, x0=7.255".
func (n ReportNames) Set(r *balancer.Report, name string, v float64) {
	switch name {
	case "x0":
		n.free(r, n.x0, v)
	case "x1":
		n.free(r, n.x1, v)
	case "busy_reqs":
		r.InFlight = v
	case "pending":
		r.Queue = v
	case "cpu_share":
		r.Busy = v
	case "served_ps":
		r.Served = v
	case "failed_ps":
		r.Failed = v
	}
	r.Told = true
}

func (ReportNames) free(r *balancer.Report, what string, v float64) {
	switch what {
	case "free slots":
		r.FreeSlots = v
	case "free memory":
		r.FreeMemory = v
	}
}

// Parse reads the object.
func Parse(raw []byte) (*Settings, error) {
	var p Settings
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("params: %w", err)
	}
	return &p, nil
}

// Brain gives the settings in the module's form.
func (p *Settings) Brain() (balancer.Settings, error) {
	s := balancer.Settings{
		Me: p.Me, Fleet: p.Fleet, Zone: p.AZ, Zones: len(p.Zones), Kinds: len(p.Kinds),
		MustAsk:      p.MembershipMode == "on_request",
		WorthByWork:  p.WorthBy == "work",
		OverShare:    p.OverShare,
		TellsStart:   p.Extra.TellsStart,
		Progress:     time.Duration(p.Extra.Progress),
		Tick:         time.Duration(p.Granularity),
		ReportProbed: p.Report.How == "pull",
		Limits: balancer.Limits{
			Attempts: p.Limits.TryLimit, Cancel: p.Limits.Cancel, Probes: p.Limits.Probes,
			Peers: p.Limits.Peers, RetryAfter: p.Limits.RetryAfter, SecondCopies: p.Limits.SecondCopies,
			ConnectTimeout: time.Duration(p.Limits.ConnectTimeout),
			ConnIdle:       time.Duration(p.Limits.ConnIdle),
			MaxRetryAfter:  time.Duration(p.Limits.MaxRetryAfter),
		},
		Rules: balancer.Rules{
			AnswerSlack: time.Duration(p.Contract.AnswerSlack), AskEvery: time.Duration(p.Contract.AskEvery),
			DrainGrace: time.Duration(p.Contract.DrainGrace), ColdShare: p.Contract.ColdShare,
			Cold: time.Duration(p.Contract.Cold), OverloadFactor: p.Contract.OverloadFactor,
			Fall: time.Duration(p.Contract.Fall), Budget: time.Duration(p.Contract.BudgetSpan),
			FreeFurther: p.Contract.FreeResends, FurtherShare: p.Contract.RepeatRatio,
			FullUnproven: p.Contract.FullUnproven,
		},
		Goal: balancer.Goal{Whole: p.Blend.Whole, WorstWindow: p.Blend.Window, WorstClass: p.Blend.Class,
			WorstTenant: p.Blend.Tenant, Punctual: p.Blend.Punctual, MissAllowed: p.Blend.MissAllowed},
		Prices: balancer.Prices{CrossZone: p.Prices.CrossZone, Waste: p.Prices.Waste,
			Connection: p.Prices.Connection, Handshake: p.Prices.Handshake, Probe: p.Prices.Probe,
			Peer: p.Prices.Peer, LateFail: p.Prices.LateFail},
	}
	var ok bool
	if s.Size, ok = sizes[p.Weights]; !ok {
		s.Size = balancer.SizeNone
	}
	for i, c := range p.Classes {
		class := balancer.Class{Name: c.Name, Aim: time.Duration(c.SLO), Deadline: time.Duration(c.GiveUp),
			Worth: c.Credit, LateShare: c.LateShare, Stream: c.Stream, Window: time.Duration(c.Window),
			Kind: -1}
		if class.Effect, ok = effects[c.Effect]; !ok {
			return s, fmt.Errorf("params: class %d: unknown effect %q", i, c.Effect)
		}
		if class.Scope, ok = scopes[c.KeyScope]; !ok {
			return s, fmt.Errorf("params: class %d: unknown key_scope %q", i, c.KeyScope)
		}
		if c.AimStretch != nil {
			class.Stretch = *c.AimStretch
		} else if i < len(p.Extra.ClassStretch) {
			class.Stretch = p.Extra.ClassStretch[i]
		}
		if i < len(p.Extra.ClassKind) {
			class.Kind = p.Extra.ClassKind[i]
		}
		if i < len(p.Extra.ClassPriority) {
			class.Priority = p.Extra.ClassPriority[i]
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Share: t.Share, Allowance: t.Allowance})
	}
	return s, nil
}
