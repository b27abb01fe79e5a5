package balancer_test

import (
	"fmt"
	"time"

	"moorstack/balancer"
)

// printingHost is a host that prints the actions.
type printingHost struct{ sent balancer.WorkerID }

func (p *printingHost) Send(id balancer.RequestID, w balancer.WorkerID) {
	p.sent = w
	fmt.Printf("send %s to worker %d\n", id, w)
}
func (p *printingHost) Reject(id balancer.RequestID, after time.Duration) {
	fmt.Println("reject", id, after > 0)
}
func (p *printingHost) Fail(id balancer.RequestID)             { fmt.Println("fail", id) }
func (p *printingHost) Cancel(id balancer.RequestID, n int)    {}
func (p *printingHost) CheckHealth(w balancer.WorkerID)        {}
func (p *printingHost) WatchList(on bool)                      {}
func (p *printingHost) SetTimer(d time.Duration, token uint64) {}
func (p *printingHost) SendPeer(peer int, data []byte)         {}
func (p *printingHost) Log(text string)                        {}

// A dispatcher passes events to the balancer and carries out the actions that it requests.
func Example() {
	settings := balancer.Settings{
		Classes: []balancer.Class{{
			Name: "resize", LatencyObjective: 200 * time.Millisecond, ObjectiveStretch: 2,
			Timeout:        5 * time.Second,
			PriorityWeight: 1, Idempotency: balancer.Idempotent, WorkerKind: -1,
		}},
		Limits: balancer.Limits{MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second},
		Goal:   balancer.Goal{Overall: 1},
	}
	host := &printingHost{}
	b, err := balancer.New(settings, 1, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.Submit(now, balancer.Request{ID: "a", Timeout: 5 * time.Second}) // no worker is known yet
	b.UpdateWorkers(now, balancer.ListFull, []balancer.Worker{{ID: 7, State: balancer.Ready}})
	b.Submit(now, balancer.Request{ID: "b", Timeout: 5 * time.Second})
	now += 50 * time.Millisecond
	b.AttemptEnded(now, balancer.AttemptOutcome{ID: "b", Worker: host.sent, Result: balancer.OK,
		Responded: true, Report: balancer.NoLoadReport})
	// Output:
	// reject a true
	// send b to worker 7
}
