package faktory

import "time"

const (
	// commandTimePerTurn is how long commands may be handled in one turn of the event loop, which all fronts
	// share. After that, the loop handles other connections and timers first.
	commandTimePerTurn = 2 * time.Millisecond
	// maxCommandsPerTurn is how many commands of one connection are handled before the next connection's.
	maxCommandsPerTurn = 16
)

// turns divides the event loop's time among the connections that have commands to be handled. Without it,
// clients that send many commands at once would keep the loop from everything else.
type turns struct {
	front     *Front
	queue     []*conn       // with input that waits to be handled, in order
	scheduled bool          // next will be called
	until     time.Duration // when the current turn ends
}

// serve handles the commands in the connection's input, or queues the connection if the time of this turn is
// used up or others wait.
func (t *turns) serve(c *conn) {
	if c.queued {
		return
	}
	if !t.scheduled {
		t.begin()
	}
	if len(t.queue) > 0 || t.front.loop.Now() >= t.until || c.handleCommands() {
		t.enqueue(c)
	}
}

// begin begins a turn. The next one begins after the loop has handled the events that are pending.
func (t *turns) begin() {
	t.until = t.front.loop.Now() + commandTimePerTurn
	t.scheduled = true
	t.front.loop.After(0, t.next)
}

func (t *turns) enqueue(c *conn) {
	c.queued = true
	c.beginProcessing()
	t.queue = append(t.queue, c)
}

// next handles commands of the queued connections, in order, until the queue is empty or the turn's time is
// used up.
func (t *turns) next() {
	t.scheduled = false
	if len(t.queue) == 0 {
		return
	}
	t.begin()
	for len(t.queue) > 0 && t.front.loop.Now() < t.until {
		c := t.queue[0]
		t.queue = t.queue[1:]
		c.queued = false
		if c.handleCommands() {
			t.enqueue(c)
		}
	}
}
