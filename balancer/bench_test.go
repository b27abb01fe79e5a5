package balancer

import (
	"fmt"
	"testing"
	"time"
)

// stubHost is a host that only records which worker a request was sent to.
type stubHost struct{ to WorkerID }

func (h *stubHost) Send(_ RequestID, w WorkerID)  { h.to = w }
func (*stubHost) Reject(RequestID, time.Duration) {}
func (*stubHost) Fail(RequestID)                  {}
func (*stubHost) Cancel(RequestID, int)           {}
func (*stubHost) CheckHealth(WorkerID)            {}
func (*stubHost) WatchList(bool)                  {}
func (*stubHost) SetTimer(time.Duration, uint64)  {}
func (*stubHost) SendPeer(int, []byte)            {}
func (*stubHost) Log(string)                      {}

// BenchmarkRequest measures one request and its response, with one class, one zone and no failures.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			host := &stubHost{}
			bal, err := New(Settings{WorkerKinds: 1, ZoneCount: 1, DispatcherCount: 1,
				Limits: Limits{MaxAttempts: 5},
				Classes: []Class{{Name: "c", LatencyObjective: time.Second, Timeout: 5 * time.Second,
					PriorityWeight: 1, WorkerKind: -1}},
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
				bal.AttemptEnded(now, AttemptOutcome{ID: "r", Worker: host.to, Result: OK,
					Took: time.Millisecond, Responded: true, Report: NoLoadReport})
			}
		})
	}
}
