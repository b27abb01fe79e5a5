package faultinjection

import "encoding/json"

// SamplePlatform returns the contents of a small platform file, with a class for each value of effect.
func SamplePlatform() []byte {
	class := func(name, effect string) map[string]any {
		c := map[string]any{"name": name, "credit": 5, "effect": effect, "give_up": 5_000_000_000,
			"slo": 1_000_000_000, "late_share": 0.5}
		if effect == "dedup" {
			c["key_scope"], c["window"] = "cell", 25_000_000_000
		}
		return c
	}
	b, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1",
		"limits": map[string]any{"memory_mb": 64, "sockets": 256},
		"settings": map[string]any{"zones": []string{"z"}, "kinds": []string{"k"}, "fleet_size": 1,
			"classes": []any{class("trip-quote", "retryable"), class("trip-book", "dedup"),
				class("trip-once", "fragile")},
			"tenants": []any{map[string]any{"name": "muscat", "share": 1}},
			"blend":   map[string]any{"whole": 1}, "membership_mode": "on_request", "worth_by": "work",
			"granularity": 5_000_000,
			"contract": map[string]any{"answer_slack": 20_000_000, "ask_every": 10_000_000_000,
				"cold":       1_000_000,
				"cold_share": 1, "drain_grace": 1_000_000_000, "fall": 1_000_000_000, "overload_factor": 3},
			"limits": map[string]any{"try_limit": 5, "cancel": true, "conn_idle": 15_000_000_000,
				"connect_timeout": 250_000_000, "max_retry_after": 2_000_000_000, "probes": true,
				"retry_after":   true,
				"second_copies": true},
			"extra":  map[string]any{"report_x0": "free slots"},
			"report": map[string]any{"how": "pull", "names": []string{"pending", "x0"}}},
	})
	if err != nil {
		panic(err) // every value above can be encoded
	}
	return b
}
