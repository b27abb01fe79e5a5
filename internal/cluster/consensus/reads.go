package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
)

// reads are the linearizable read requests: each waits until this instance has applied everything that was
// committed when the request came (Raft's ReadIndex).
type reads struct {
	replica  *replica
	requests *requestTable
}

// ReadIndex requests a moment from which on this instance has applied everything that was committed when the
// request came. Its Response has no outcome.
func (i *Instance) ReadIndex() RequestID {
	q := &request{handler: i.reads, retryable: true, timeoutErr: ErrNoLeader}
	id := i.requests.register(q)
	if err := i.available(); err != nil {
		i.requests.reject(q, err)
		return id
	}
	i.requests.start(q)
	return id
}

// submit implements requestHandler. Each attempt has a context of its own: a late ReadState of an earlier
// attempt must not be taken for one of this.
func (r *reads) submit(q *request) {
	q.readContext = string(readContext(nil, r.replica.identity.Id, uint64(q.id), r.replica.ticks))
	r.replica.node.ReadIndex([]byte(q.readContext))
}

// observe takes the index of a read.
func (r *reads) observe(s raft.ReadState) {
	for _, q := range r.requests.pending {
		if q.handler == r && q.readContext == string(s.RequestCtx) {
			q.readIndex = s.Index
			q.retryable = s.Index == 0
		}
	}
}

// resolve implements requestHandler.
func (r *reads) resolve(q *request, _ raft.BasicStatus) resolution {
	if q.readIndex == 0 || r.replica.applied < q.readIndex {
		return undecided
	}
	r.requests.respond(q, nil, clusterstate.Outcome{})
	return resolved
}

// readContext appends numbers that make a read unique to a prefix.
func readContext(prefix []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		prefix = binary.BigEndian.AppendUint64(prefix, n)
	}
	return prefix
}
