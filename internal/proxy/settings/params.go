// Package settings parses the settings object, which is part of both the simulator's first message and a
// node's configuration file, and converts it to the balancer's settings.
package settings

import (
	"encoding/json"
	"fmt"
)

// Params is the settings object with its names on the wire. Durations are in nanoseconds.
type Params struct {
	Zone            int      `json:"az"` // the zone of this dispatcher
	DispatcherIndex int      `json:"me"`
	DispatcherCount int      `json:"fleet_size"`
	Classes         []Class  `json:"classes"`
	Tenants         []Tenant `json:"tenants"`
	Goal            Goal     `json:"blend"`
	Rules           Rules    `json:"contract"`
	Extra           Extra    `json:"extra"`
	MinEventGap     int64    `json:"granularity"`
	Kinds           []string `json:"kinds"` // names of the kinds of workers, by number
	Zones           []string `json:"zones"` // names of the zones, by number
	Limits          Limits   `json:"limits"`
	ListMode        string   `json:"membership_mode"` // "on_request": the endpoint list must be requested
	OverQuotaWeight float64  `json:"over_share_worth"`
	Costs           Costs    `json:"prices"`
	Reports         Reports  `json:"report"`
	SizeMeaning     string   `json:"weights"`  // "silent", "nominal", "rough" or "live"; empty: silent
	WeightBy        string   `json:"worth_by"` // "work": weights apply to each unit of work
}

// Class is a class of requests.
type Class struct {
	Name             string   `json:"name"`
	PriorityWeight   float64  `json:"credit"`
	Effect           string   `json:"effect"` // "retryable", "dedup" or "fragile"
	Timeout          int64    `json:"give_up"`
	KeyScope         string   `json:"key_scope"` // "all", "zone" or "cell"; empty: all
	LateShare        float64  `json:"late_share"`
	LatencyObjective int64    `json:"slo"`
	Streaming        bool     `json:"stream"`
	KeyWindow        int64    `json:"window"`
	ObjectiveStretch *float64 `json:"aim_stretch"` // nil: the value in Extra.ClassStretch
}

// Tenant is a tenant of the deployment.
type Tenant struct {
	Name           string  `json:"name"`
	CapacityShare  float64 `json:"share"`
	QuotaPerSecond float64 `json:"allowance_per_s"`
}

// Goal holds the weights of the components of the score.
type Goal struct {
	Overall     float64 `json:"whole"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	WorstWindow float64 `json:"worst_window"`

	OnTime           float64 `json:"punctual"`
	AllowedMissShare float64 `json:"miss_allowed"`
}

// Rules are the limits that the score checks for each dispatcher.
type Rules struct {
	ResponseSlack     int64   `json:"answer_slack"`
	ListPollInterval  int64   `json:"ask_every"`
	SlowStartWindow   int64   `json:"cold"`
	SlowStartMinShare float64 `json:"cold_share"`
	DrainGrace        int64   `json:"drain_grace"`
	OverloadWindow    int64   `json:"fall"`
	OverloadFactor    float64 `json:"overload_factor"`
	RetryBudgetWindow int64   `json:"budget_span"`
	RetryBudgetBase   float64 `json:"free_resends"`
	RetryBudgetShare  float64 `json:"repeat_ratio"`
	FullMayHaveRun    bool    `json:"full_unproven"`
}

// Extra holds further settings, of classes and load reports.
type Extra struct {
	ClassKind        []int     `json:"class_kind"`     // by class: the kind of worker that it needs
	ClassPriority    []int     `json:"class_priority"` // by class
	ClassStretch     []float64 `json:"class_stretch"`  // by class, unless Class.ObjectiveStretch is set
	ProgressInterval int64     `json:"progress"`
	ReportsStart     bool      `json:"tells_start"`
	ReportX0         string    `json:"report_x0"` // the meaning of x0 in a load report; see LoadReportFields
	ReportX1         string    `json:"report_x1"` // the meaning of x1
}

// Limits are the actions and limits that the deployment allows a dispatcher.
type Limits struct {
	CanCancel      bool  `json:"cancel"`
	IdleTimeout    int64 `json:"conn_idle"`
	ConnectTimeout int64 `json:"connect_timeout"`
	MaxAttempts    int   `json:"try_limit"`
	MaxRetryAfter  int64 `json:"max_retry_after"`
	PeerMessages   bool  `json:"peers"`
	HealthChecks   bool  `json:"probes"`
	RetryAfter     bool  `json:"retry_after"`
	HedgedRequests bool  `json:"second_copies"`
}

// Costs are the amounts that one unit of each cost subtracts from the score.
type Costs struct {
	Connection  float64 `json:"connection"`
	CrossZone   float64 `json:"cross_zone"`
	Handshake   float64 `json:"handshake"`
	LateFailure float64 `json:"late_fail"`
	PeerMessage float64 `json:"peer"`
	HealthCheck float64 `json:"probe"`
	WastedWork  float64 `json:"waste"`
}

// Reports determines how load reports are received.
type Reports struct {
	Mode string `json:"how"` // "pull": only in response to health checks
}

// Parse parses the object from JSON. Unknown fields are ignored. It is called once at each start, so its
// speed does not matter.
func Parse(raw []byte) (*Params, error) {
	var p Params
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("params: %w", err)
	}
	return &p, nil
}
