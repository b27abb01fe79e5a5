package store

import "sync"

// maxBatchBytes limits the size of a batch, so that the first commit of a batch does not wait too long for
// the others to be written.
const maxBatchBytes = 4 << 20

// GroupCommitter commits records to a store for several goroutines. Commits that arrive during a sync are
// written as a batch and share the next sync. Its methods may be called from any goroutine.
type GroupCommitter struct {
	store   *Store
	mu      sync.Mutex
	changed sync.Cond // signalled when pending grows or closed is set
	pending []pendingCommit
	closed  bool
	done    chan struct{} // closed when the committer's goroutine has ended
}

type pendingCommit struct {
	records []Record
	notify  func(firstSeq uint64, err error)
}

// bytes returns the number of bytes that the commit adds to the log.
func (c pendingCommit) bytes() int {
	n := 0
	for _, r := range c.records {
		n += recordHeaderBytes + len(r.Data)
	}
	return n
}

// NewGroupCommitter starts a goroutine that uses the store. The caller must not use the store until Close has
// returned.
func NewGroupCommitter(s *Store) *GroupCommitter {
	g := &GroupCommitter{store: s, done: make(chan struct{})}
	g.changed.L = &g.mu
	go g.run()
	return g
}

// CommitAsync commits records. It calls notify on the committer's goroutine when the records are durable or
// the commit has failed. Commits are made in the order of the calls. After Close, CommitAsync calls notify
// with ErrClosed on the caller's goroutine.
func (g *GroupCommitter) CommitAsync(notify func(firstSeq uint64, err error), records ...Record) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		notify(0, ErrClosed)
		return
	}
	g.pending = append(g.pending, pendingCommit{records, notify})
	g.mu.Unlock()
	g.changed.Signal()
}

// Commit commits records, waits until they are durable, and returns the sequence number of the first one.
func (g *GroupCommitter) Commit(records ...Record) (uint64, error) {
	type result struct {
		firstSeq uint64
		err      error
	}
	results := make(chan result, 1)
	g.CommitAsync(func(firstSeq uint64, err error) { results <- result{firstSeq, err} }, records...)
	r := <-results
	return r.firstSeq, r.err
}

// run commits batches until the committer is closed and no commits are pending.
func (g *GroupCommitter) run() {
	defer close(g.done)
	for {
		batch := g.nextBatch()
		if len(batch) == 0 {
			return
		}
		g.commit(batch)
	}
}

// nextBatch waits for commits and returns those that share the next sync. It returns none if the committer is
// closed and no commits are pending.
func (g *GroupCommitter) nextBatch() []pendingCommit {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.pending) == 0 && !g.closed {
		g.changed.Wait()
	}
	n, bytes := 0, 0
	for n < len(g.pending) && bytes < maxBatchBytes {
		bytes += g.pending[n].bytes()
		n++
	}
	batch := append([]pendingCommit(nil), g.pending[:n]...)
	g.pending = append(g.pending[:0], g.pending[n:]...)
	return batch
}

// commit appends a batch, syncs once, and notifies the caller of each commit.
func (g *GroupCommitter) commit(batch []pendingCommit) {
	firstSeqs, errs := make([]uint64, len(batch)), make([]error, len(batch))
	for i, c := range batch {
		firstSeqs[i], errs[i] = g.store.Append(c.records...)
	}
	err := g.store.Sync()
	for i, c := range batch {
		if errs[i] == nil {
			errs[i] = err
		}
		c.notify(firstSeqs[i], errs[i])
	}
}

// Close commits what is pending and ends the goroutine. It does not close the store.
func (g *GroupCommitter) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.changed.Signal()
	<-g.done
}
