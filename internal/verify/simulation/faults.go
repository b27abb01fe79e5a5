package simulation

import (
	"moorstack/internal/schema"
)

// fault is a kind of fault, drawn with a probability in proportion to its weight. inject returns its name,
// under which the result counts it.
type fault struct {
	weight int
	inject func(*simulator) (name string)
}

var faults = []fault{
	{2, (*simulator).losePower},
	{1, (*simulator).killProcess},
	{2, (*simulator).losePowerInWrite},
	{1, (*simulator).leaderLosesPowerInWrite},
	{1, (*simulator).isolate},
	{1, (*simulator).isolateOneWay},
	{1, (*simulator).partition},
	{2, (*simulator).healPartitions},
	{1, (*simulator).loseMessages},
	{1, (*simulator).fillDisk},
	{1, (*simulator).skewClock},
	{1, (*simulator).transferLeader},
	{1, (*simulator).changeMembers},
	{1, (*simulator).stallMachine},
	{1, (*simulator).stallLeader},
	{1, (*simulator).stallMany},
}

// injectFault injects a fault of a random kind.
func (s *simulator) injectFault() {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	n := s.faultRNG.IntN(total)
	for _, f := range faults {
		if n < f.weight {
			name := f.inject(s)
			s.tracef("fault: %s", name)
			s.result.Faults[name]++
			return
		}
		n -= f.weight
	}
}

// randomMachine draws the machine that a fault affects.
func (s *simulator) randomMachine() *machine { return s.machines[s.faultRNG.IntN(len(s.machines))] }

func (s *simulator) losePower() string {
	s.randomMachine().stop(true)
	return "power"
}

func (s *simulator) killProcess() string {
	s.randomMachine().stop(false)
	return "kill"
}

// losePowerInWrite makes a machine lose power during its next writes and sends: before the first of them,
// between two, or after the last.
func (s *simulator) losePowerInWrite() string {
	m := s.randomMachine()
	m.callsToFailure = 1 + s.faultRNG.IntN(8)
	return "power mid-write"
}

func (s *simulator) leaderLosesPowerInWrite() string {
	if leader := s.leader(); leader != nil {
		leader.callsToFailure = 1 + s.faultRNG.IntN(10)
	}
	return "leader mid-write"
}

func (s *simulator) isolate() string {
	m := s.randomMachine()
	for _, o := range s.machines {
		if o != m {
			s.network.cut[route{m.name, o.name}], s.network.cut[route{o.name, m.name}] = true, true
		}
	}
	return "cut off"
}

func (s *simulator) isolateOneWay() string {
	m := s.randomMachine()
	outbound := s.faultRNG.IntN(2) == 0
	for _, o := range s.machines {
		if o == m {
			continue
		}
		if outbound {
			s.network.cut[route{m.name, o.name}] = true
		} else {
			s.network.cut[route{o.name, m.name}] = true
		}
	}
	return "one-way cut"
}

func (s *simulator) partition() string {
	size := 1 + s.faultRNG.IntN(len(s.machines)-1)
	for i, a := range s.machines {
		for j, b := range s.machines {
			if (i < size) != (j < size) {
				s.network.cut[route{a.name, b.name}] = true
			}
		}
	}
	return "cut in two"
}

func (s *simulator) healPartitions() string {
	clear(s.network.cut)
	return "cuts end"
}

func (s *simulator) loseMessages() string {
	s.network.loss = []float64{0, 0.05, 0.3}[s.faultRNG.IntN(3)]
	return "loss"
}

func (s *simulator) fillDisk() string {
	m := s.randomMachine()
	m.disk.FreeBytes = int64(s.faultRNG.IntN(2000))
	return "disk full"
}

func (s *simulator) skewClock() string {
	m := s.randomMachine()
	m.localTime() // the time until now passed at the previous rate
	m.unitsPerTick = unitsPerTick + int64(s.faultRNG.IntN(9)) - 4
	return "clock"
}

func (s *simulator) transferLeader() string {
	if leader := s.leader(); leader != nil {
		s.operate(leader, &schema.Operation{Kind: schema.Operation_TRANSFER, Name: s.randomMachine().name}, 0)
	}
	return "transfer"
}

func (s *simulator) stallMachine() string {
	m := s.randomMachine()
	m.stall(int64(s.faultRNG.IntN(600)))
	return "stall"
}

func (s *simulator) stallLeader() string {
	if leader := s.leader(); leader != nil {
		leader.stall(int64(s.faultRNG.IntN(900)))
	}
	return "leader stalls"
}

func (s *simulator) stallMany() string {
	for _, m := range s.machines {
		if s.faultRNG.IntN(2) == 0 {
			m.stall(int64(s.faultRNG.IntN(400)))
		}
	}
	return "many stall"
}

// endFaults ends all faults and starts every machine that is down.
func (s *simulator) endFaults() {
	s.tracef("faults have ended")
	clear(s.network.cut)
	s.network.loss = 0
	for _, m := range s.machines {
		m.disk.FreeBytes = -1
		m.callsToFailure, m.stalledUntil = 0, 0
		m.start()
	}
}
