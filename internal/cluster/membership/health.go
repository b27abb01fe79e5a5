package membership

import "time"

// health is Lifeguard's local health multiplier: this member's estimate of how slow it is itself.
type health struct {
	score int // from 0 (healthy) to limit
	limit int
}

// adjust adds delta to the score, within its bounds. A positive delta means worse health.
func (h *health) adjust(delta int) { h.score = max(0, min(h.limit, h.score+delta)) }

// scale multiplies a probe time by 1 + score.
func (h *health) scale(d time.Duration) time.Duration { return d * time.Duration(h.score+1) }
