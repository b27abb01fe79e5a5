package transport

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

func newNetwork() *Network {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(nil, "n1", "127.0.0.1:1", "", "test", log)
}

func TestFullQueueDropsAndCounts(t *testing.T) {
	n := newNetwork()
	l := &link{network: n, queue: make(chan outgoing, 2)} // run is not started, so nothing is sent
	for range 5 {
		l.enqueue(outgoing{message: &pb.Message{}})
	}
	if dropped := n.Counters()["messages_dropped_outbound"]; dropped != 3 {
		t.Errorf("%d of 5 messages dropped, want 3", dropped)
	}
}

func TestQueueIsBoundedInBytes(t *testing.T) {
	n := newNetwork()
	l := &link{network: n, queue: make(chan outgoing, 100)}
	large := outgoing{message: &pb.Message{Context: make([]byte, maxQueuedBytes/3)}}
	for range 5 {
		l.enqueue(large)
	}
	if queued := len(l.queue); queued != 2 {
		t.Errorf("%d messages queued, want 2", queued)
	}
	if got, want := l.bytes.Load(), 2*large.size(); got != want {
		t.Errorf("%d bytes counted as queued, want %d", got, want)
	}
}

func TestClosedNetworkDrops(t *testing.T) {
	n := newNetwork()
	n.Close()
	n.Send(clusterstate.Member{Name: "n2", Address: "127.0.0.1:2"}, &pb.Message{})
	n.SendSession(clusterstate.Member{Name: "n2", Address: "127.0.0.1:2"}, &schema.SessionMessage{})
	if dropped := n.Counters()["messages_dropped_outbound"]; dropped != 2 {
		t.Errorf("%d messages dropped, want 2", dropped)
	}
}

func groupStatus() consensus.Status {
	return consensus.Status{ID: 1, Name: "n1", Cluster: "g", Members: []consensus.MemberStatus{
		{Member: clusterstate.Member{ID: 1, Name: "n1"}}, {Member: clusterstate.Member{ID: 2, Name: "n2"}}}}
}

func TestEnvelopeFromOrForAnotherIsRejected(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*schema.Envelope)
		want   codes.Code
	}{
		"valid":           {func(*schema.Envelope) {}, codes.OK},
		"unknown sender":  {func(e *schema.Envelope) { e.From = 3 }, codes.OK}, // may be a new member
		"another's name":  {func(e *schema.Envelope) { e.FromName = "n3" }, codes.PermissionDenied},
		"another's id":    {func(e *schema.Envelope) { e.From = 1 }, codes.PermissionDenied},
		"another group":   {func(e *schema.Envelope) { e.Cluster = "h" }, codes.FailedPrecondition},
		"no group":        {func(e *schema.Envelope) { e.Cluster = "" }, codes.FailedPrecondition},
		"another's inbox": {func(e *schema.Envelope) { e.To = 9 }, codes.NotFound},
	} {
		e := &schema.Envelope{Cluster: "g", From: 2, FromName: "n2", To: 1}
		c.change(e)
		if got := status.Code(verifyAddressing("n2", e, groupStatus())); got != c.want {
			t.Errorf("%s: status %v, want %v", name, got, c.want)
		}
	}
}

func TestInstanceThatCannotJoinIsRejected(t *testing.T) {
	st := groupStatus()
	st.Rollout.Format = 4
	op := &schema.Operation{Kind: schema.Operation_ADD, Name: "n3", Address: "127.0.0.1:3"}
	for name, c := range map[string]struct {
		d  *schema.Description
		op *schema.Operation
		ok bool
	}{
		"new":                   {&schema.Description{Id: 3, Format: 4}, op, true},
		"already of this group": {&schema.Description{Id: 3, Format: 4, Cluster: "g"}, op, true},
		"of another group":      {&schema.Description{Id: 3, Format: 4, Cluster: "h"}, op, false},
		"older program":         {&schema.Description{Id: 3, Format: 3}, op, false},
		"oldest program":        {&schema.Description{Id: 3}, op, false},
		"name already in use": {&schema.Description{Id: 3, Format: 4}, &schema.Operation{Name: "n2"},
			false},
	} {
		if err := checkCanJoin(c.d, st, c.op); (err == nil) != c.ok {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestEveryOperationHasAResult(t *testing.T) {
	for number, name := range schema.Operation_Kind_name {
		kind := schema.Operation_Kind(number)
		if number == 0 {
			continue
		}
		if operationResult(&schema.Operation{Kind: kind, Name: "n2", By: "n3"}) == "" {
			t.Errorf("operation %s has no result text", name)
		}
	}
}
