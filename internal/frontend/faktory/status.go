package faktory

import "time"

// track returns the reply to TRACK GET. It marks the response of a finished job as read.
func (f *Front) track(jid string) any {
	t := struct {
		JID        string  `json:"jid"`
		State      string  `json:"state"`
		Rejected   bool    `json:"refused,omitempty"`
		RetryAfter float64 `json:"retry_after,omitempty"`
		UpdatedAt  string  `json:"updated_at,omitempty"`
	}{JID: jid, State: "unknown"}
	if j := f.jobs[jid]; j != nil {
		j.responseRead = j.finished
		t.State, t.Rejected, t.RetryAfter = string(j.state), j.rejected, j.retryAfter.Seconds()
		t.UpdatedAt = j.updatedAt.UTC().Format(time.RFC3339Nano)
	}
	return t
}

// info returns the reply to INFO.
func (f *Front) info() any {
	unfetched := map[string]int{}
	for _, s := range f.sessions {
		for _, r := range s.unfetched {
			unfetched[r.job.Queue]++
		}
	}
	n := &f.counts
	return map[string]any{
		"server_utc_time": time.Now().UTC().Format("15:04:05 UTC"),
		"faktory": map[string]any{"queues": unfetched, "total_enqueued": f.broker.PendingCount(),
			"total_queues": len(unfetched), "total_processed": n.served + n.failed,
			"total_failures": n.failed, "total_refused": n.rejected,
			"tasks": map[string]any{"Workers": map[string]int{"size": len(f.sessions)}}},
		"server": map[string]any{"description": "moorstack, in memory", "faktory_version": "1.9.0",
			"uptime": int((f.loop.Now() - f.startedAt).Seconds()), "connections": f.listener.OpenCount(),
			"command_count": n.commands},
	}
}
