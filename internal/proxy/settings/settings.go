// Package settings reads the settings object that the simulator's first message
// and a real node's configuration both hold, and turns it into the module's.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"moorstack/balancer"
)

// Params is the object as the wire words it. It is read once for each start,
// so the standard library's decoder does.
type Params struct {
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
	effects = map[string]balancer.Idempotency{
		"retryable": balancer.Idempotent,
		"dedup":     balancer.IdempotentByKey,
		"fragile":   balancer.NonIdempotent,
	}
	scopes = map[string]balancer.KeyScope{
		"":     balancer.ScopeAll,
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell,
	}
	sizes = map[string]balancer.SizeMeaning{"": balancer.SizeNone, "silent": balancer.SizeNone,
		"nominal": balancer.SizeNominal, "rough": balancer.SizeApproximate, "live": balancer.SizeLive}
)

// LoadReportFields says in words what the two free values of a load report hold.
type LoadReportFields struct{ x0, x1 string }

// LoadReportFields are the words for the free values.
func (p *Params) LoadReportFields() LoadReportFields {
	return LoadReportFields{p.Extra.ReportX0, p.Extra.ReportX1}
}

// Set puts a value of a load report in its place. What the module has no place
// for is passed over. The settings and both wires use the same words: a real
// worker's report was seen to be "TEXT pending=0, served_ps=0, svc_ms=0, x0=7.255".
func (n LoadReportFields) Set(r *balancer.LoadReport, name string, v float64) {
	switch name {
	case "x0":
		n.free(r, n.x0, v)
	case "x1":
		n.free(r, n.x1, v)
	case "busy_reqs":
		r.InFlight = v
	case "pending":
		r.QueueLength = v
	case "cpu_share":
		r.CPUShare = v
	case "served_ps":
		r.ServedPerSecond = v
	case "failed_ps":
		r.FailedPerSecond = v
	}
	r.Received = true
}

func (LoadReportFields) free(r *balancer.LoadReport, what string, v float64) {
	switch what {
	case "free slots":
		r.FreeSlots = v
	case "free memory":
		r.FreeMemory = v
	}
}

// Parse reads the object.
func Parse(raw []byte) (*Params, error) {
	var p Params
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("params: %w", err)
	}
	return &p, nil
}

// Balancer gives the settings in the module's form.
func (p *Params) Balancer() (balancer.Settings, error) {
	s := balancer.Settings{
		DispatcherIndex: p.Me, DispatcherCount: p.Fleet, Zone: p.AZ, ZoneCount: len(p.Zones),
		WorkerKinds:        len(p.Kinds),
		ListOnRequest:      p.MembershipMode == "on_request",
		WeightByWork:       p.WorthBy == "work",
		OverQuotaWeight:    p.OverShare,
		ReportsStart:       p.Extra.TellsStart,
		ProgressInterval:   time.Duration(p.Extra.Progress),
		MinEventInterval:   time.Duration(p.Granularity),
		LoadReportsByCheck: p.Report.How == "pull",
		Limits: balancer.Limits{
			MaxAttempts: p.Limits.TryLimit, CanCancel: p.Limits.Cancel, HealthChecks: p.Limits.Probes,
			PeerMessages: p.Limits.Peers, RetryAfter: p.Limits.RetryAfter,
			HedgedRequests: p.Limits.SecondCopies,
			ConnectTimeout: time.Duration(p.Limits.ConnectTimeout),
			IdleTimeout:    time.Duration(p.Limits.ConnIdle),
			MaxRetryAfter:  time.Duration(p.Limits.MaxRetryAfter),
		},
		Rules: balancer.Rules{
			ResponseSlack: time.Duration(
				p.Contract.AnswerSlack,
			), ListPollInterval: time.Duration(p.Contract.AskEvery),
			DrainGrace: time.Duration(p.Contract.DrainGrace), SlowStartMinShare: p.Contract.ColdShare,
			SlowStartWindow: time.Duration(p.Contract.Cold), OverloadFactor: p.Contract.OverloadFactor,
			OverloadWindow: time.Duration(
				p.Contract.Fall,
			), RetryBudgetWindow: time.Duration(p.Contract.BudgetSpan),
			RetryBudgetBase: p.Contract.FreeResends, RetryBudgetShare: p.Contract.RepeatRatio,
			FullMayHaveRun: p.Contract.FullUnproven,
		},
		Goal: balancer.Goal{Overall: p.Blend.Whole, WorstWindow: p.Blend.Window, WorstClass: p.Blend.Class,
			WorstTenant: p.Blend.Tenant, OnTime: p.Blend.Punctual, AllowedMissShare: p.Blend.MissAllowed},
		Costs: balancer.Costs{CrossZone: p.Prices.CrossZone, WastedWork: p.Prices.Waste,
			Connection: p.Prices.Connection, Handshake: p.Prices.Handshake, HealthCheck: p.Prices.Probe,
			PeerMessage: p.Prices.Peer, LateFailure: p.Prices.LateFail},
	}
	var ok bool
	if s.SizeMeaning, ok = sizes[p.Weights]; !ok {
		s.SizeMeaning = balancer.SizeNone
	}
	for i, c := range p.Classes {
		class := balancer.Class{
			Name:             c.Name,
			LatencyObjective: time.Duration(c.SLO),
			Timeout:          time.Duration(c.GiveUp),
			PriorityWeight:   c.Credit,
			LateShare:        c.LateShare,
			Streaming:        c.Stream,
			KeyWindow:        time.Duration(c.Window),
			WorkerKind:       -1,
		}
		if class.Idempotency, ok = effects[c.Effect]; !ok {
			return s, fmt.Errorf("params: class %d: unknown effect %q", i, c.Effect)
		}
		if class.KeyScope, ok = scopes[c.KeyScope]; !ok {
			return s, fmt.Errorf("params: class %d: unknown key_scope %q", i, c.KeyScope)
		}
		if c.AimStretch != nil {
			class.ObjectiveStretch = *c.AimStretch
		} else if i < len(p.Extra.ClassStretch) {
			class.ObjectiveStretch = p.Extra.ClassStretch[i]
		}
		if i < len(p.Extra.ClassKind) {
			class.WorkerKind = p.Extra.ClassKind[i]
		}
		if i < len(p.Extra.ClassPriority) {
			class.Priority = p.Extra.ClassPriority[i]
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(
			s.Tenants,
			balancer.Tenant{Name: t.Name, CapacityShare: t.Share, QuotaPerSecond: t.Allowance},
		)
	}
	return s, nil
}
