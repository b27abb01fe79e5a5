package membership

import "time"

// health is Lifeguard's local health multiplier: how slow this member takes itself to be.
type health struct {
	score int // 0: healthy
	limit int
}

// adjust worsens the score by a positive change, and improves it by a negative one.
func (h *health) adjust(change int) { h.score = max(0, min(h.limit, h.score+change)) }

// scale stretches a time of the probe by the score.
func (h *health) scale(d time.Duration) time.Duration { return d * time.Duration(h.score+1) }
