package simulation

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/schema"
)

// route identifies the messages from one machine to another, by the machines' names.
type route struct{ from, to string }

// network holds the current faults of the network.
type network struct {
	cut  map[route]bool
	loss float64 // fraction of the messages that are lost
}

// snapshotUnits is how long after sending a snapshot the sender learns whether it arrived.
const snapshotUnits = 15

// send transmits a Raft message. It is encoded and decoded, so that instances share no memory.
func (s *simulator) send(from *machine, msg *pb.Message) {
	raw, err := proto.Marshal(msg)
	if err != nil {
		s.violatef("encoding a Raft message: %v", err)
		return
	}
	if msg.GetType() == pb.MsgSnap {
		incarnation := from.incarnation
		ok := s.machineOf(msg.GetTo()) != nil
		s.after(snapshotUnits, func() {
			if from.incarnation == incarnation && from.instance != nil {
				from.input().ReportSnapshot(msg.GetTo(), ok)
				from.processReady()
			}
		})
	}
	s.transmit(from, msg.GetTo(), func(to *machine) {
		got := &pb.Message{}
		if err := proto.Unmarshal(raw, got); err != nil {
			s.violatef("decoding a Raft message: %v", err)
			return
		}
		if err := to.input().Step(got); err != nil {
			s.tracef("%s rejects %v from %s: %v", to.name, got.GetType(), from.name, err)
		}
		to.processReady()
	})
}

// sendSession transmits a session message, encoded like a Raft message.
func (s *simulator) sendSession(from *machine, msg consensus.SessionMessage) {
	raw, err := proto.Marshal(msg.Message)
	if err != nil {
		s.violatef("encoding a session message: %v", err)
		return
	}
	number := from.number
	s.tracef("%s to %x: %v", from.name, msg.To, msg.Message)
	s.transmit(from, msg.To, func(to *machine) {
		got := &schema.SessionMessage{}
		if err := proto.Unmarshal(raw, got); err != nil {
			s.violatef("decoding a session message: %v", err)
			return
		}
		if err := to.input().StepSession(number, got); err != nil {
			s.tracef("%s rejects a session message from %s: %v", to.name, from.name, err)
		}
		to.processReady()
	})
}

// transmit delivers a message to an instance over an unreliable network: after a delay, twice or never.
func (s *simulator) transmit(from *machine, number uint64, receive func(to *machine)) {
	copies := 1
	if !s.faultsEnded {
		if s.rng.Float64() < s.network.loss {
			return
		}
		if s.rng.IntN(20) == 0 {
			copies = 2
		}
	}
	for range copies {
		delay := int64(1 + s.rng.IntN(6))
		if !s.faultsEnded && s.rng.IntN(30) == 0 {
			delay += int64(s.rng.IntN(400)) // later messages overtake it
		}
		s.after(delay, func() {
			to := s.machineOf(number)
			switch {
			case to == nil || s.network.cut[route{from.name, to.name}]:
			case s.now < to.stalledUntil: // it waits in a kernel buffer
				to.after(to.stalledUntil-s.now+int64(s.rng.IntN(3)), func() { receive(to) })
			default:
				receive(to)
			}
		})
	}
}
