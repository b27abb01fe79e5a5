package balancer

import (
	"fmt"
	"testing"
	"time"
)

// idle is a host that does nothing but note where the request went.
type idle struct{ to WorkerID }

func (h *idle) Send(_ RequestID, w WorkerID, _ time.Duration) { h.to = w }
func (*idle) Reject(RequestID, time.Duration)                 {}
func (*idle) Fail(RequestID)                                  {}
func (*idle) Cancel(RequestID, int)                           {}
func (*idle) CheckHealth(WorkerID)                            {}
func (*idle) WatchList(bool)                                  {}
func (*idle) FetchList()                                      {}
func (*idle) SetTimer(time.Duration, uint64)                  {}
func (*idle) SendPeer(int, []byte)                            {}
func (*idle) CloseIdle(WorkerID)                              {}
func (*idle) Log(string)                                      {}

// BenchmarkRequest is one request and its outcome: one class, one zone, no troubles.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			host := &idle{}
			bal, err := New(Settings{WorkerKinds: 1, ZoneCount: 1, DispatcherCount: 1, Limits: Limits{MaxAttempts: 5},
				Classes: []Class{{Name: "c", LatencyObjective: time.Second, Timeout: 5 * time.Second, PriorityWeight: 1,
					WorkerKind: -1}},
				Goal: Goal{Overall: 1}}, 1, host)
			if err != nil {
				b.Fatal(err)
			}
			list := make([]Worker, n)
			for i := range list {
				list[i] = Worker{ID: WorkerID(i + 1), State: Ready, Size: 1}
			}
			now := time.Hour
			bal.UpdateWorkers(now, ListFull, list)
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Microsecond
				bal.Submit(now, Request{ID: "r", Timeout: 5 * time.Second})
				bal.AttemptEnded(now, AttemptOutcome{ID: "r", Worker: host.to, Result: OK, Took: time.Millisecond,
					Responded: true, Report: NoLoadReport})
			}
		})
	}
}
