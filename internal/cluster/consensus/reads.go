package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/clusterstate"
)

// reads handles the linearizable read requests: each waits until this instance has applied everything that
// was committed when the request arrived (Raft's ReadIndex).
type reads struct {
	replica  *replica
	requests *requestTable
}

// ReadIndex requests a Response once this instance has applied everything that was committed when the request
// arrived. The Response has no outcome.
func (i *Instance) ReadIndex() RequestID {
	q := &request{handler: i.reads, retryable: true, timeoutErr: ErrNoLeader}
	id := i.requests.register(q)
	if err := i.checkAvailable(); err != nil {
		i.requests.reject(q, err)
		return id
	}
	i.requests.start(q)
	return id
}

// submit implements requestHandler. Each attempt has a unique context, so that a late ReadState of an earlier
// attempt is not mistaken for that of the current one.
func (r *reads) submit(q *request) {
	q.readContext = string(readContext(nil, r.replica.identity.Id, uint64(q.id), r.replica.ticks))
	r.replica.node.ReadIndex([]byte(q.readContext))
}

// observe records the read index of the request that a ReadState belongs to.
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

// readContext returns the context of a read: prefix followed by numbers that make it unique.
func readContext(prefix []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		prefix = binary.BigEndian.AppendUint64(prefix, n)
	}
	return prefix
}
