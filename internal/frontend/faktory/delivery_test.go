package faktory

import (
	"fmt"
	"testing"
	"time"
)

func push(jid string) string { return fmt.Sprintf(`PUSH {"jid":%q,"jobtype":"book","args":[]}`, jid) }

// keepForBusyWorker has the front keep a job, "job-kept", for the next FETCH of a worker that is busy with
// another one. If lost, a worker of the same pod has fetched the job before and was lost with it.
func keepForBusyWorker(e *testFront, lost bool) (busy, producer *testPeer) {
	e.t.Helper()
	busy, producer = e.connect("busy", 1), e.connect("", 0)
	busy.send("FETCH default")
	producer.expectWithin(testKeyWindow, "INFO", `"Workers":{"size":1}`)
	producer.expect(push("job-busy"), "+OK")
	if got := busy.reply(); got == "$-1" {
		e.t.Fatal("the first worker got no job")
	}
	if lost {
		dies := e.connect("dies", 1)
		dies.send("FETCH default")
		producer.expectWithin(testKeyWindow, "INFO", `"Workers":{"size":2}`)
		producer.expect(push("job-kept"), "+OK")
		dies.reply()
		dies.conn.Close()
	} else {
		producer.expect(push("job-kept"), "+OK")
	}
	producer.expectWithin(testKeyWindow, "INFO", `"queues":{"default":1}`)
	return busy, producer
}

// Guards against a job that runs twice: it may have run at a worker that was lost, waits for the FETCH of a
// busy worker of the same pod, and is delivered when the pod has forgotten its key.
func TestKeptJobIsNotDeliveredAfterItsKeyWindow(t *testing.T) {
	t.Parallel()
	e := newTestFront(t)
	busy, producer := keepForBusyWorker(e, true)
	time.Sleep(testKeyWindow)
	busy.expect(`ACK {"jid":"job-busy"}`, "+OK")
	busy.expect("FETCH default", "$-1")
	producer.expect("TRACK GET job-kept", `"state":"failed"`)
}

// Within the key window the repeat is delivered: the pod recognises it.
func TestKeptJobIsDeliveredWithinItsKeyWindow(t *testing.T) {
	t.Parallel()
	e := newTestFront(t)
	busy, _ := keepForBusyWorker(e, true)
	busy.expect(`ACK {"jid":"job-busy"}`, "+OK")
	busy.expect("FETCH default", `"jid":"job-kept"`)
}

// Guards against new work for a worker under maintenance: a job that was assigned to it before and not
// fetched goes to another worker.
func TestKeptJobIsNotDeliveredUnderMaintenance(t *testing.T) {
	t.Parallel()
	e := newTestFront(t)
	busy, producer := keepForBusyWorker(e, false)
	e.onLoop(func() { e.front.broker.StartMaintenance("busy") })
	other := e.connect("other", 1)
	other.send("FETCH default")
	busy.expect(`ACK {"jid":"job-busy"}`, "+OK")
	busy.send("FETCH default")
	if got := other.reply(); got == "$-1" {
		t.Error("the other worker got no job")
	}
	if got := busy.reply(); got != "$-1" {
		t.Errorf("the worker under maintenance fetched %s", got)
	}
	other.expect(`ACK {"jid":"job-kept"}`, "+OK")
	producer.expect("TRACK GET job-kept", `"state":"success"`)
}
