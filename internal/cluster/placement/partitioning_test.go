package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simulatedLease = 500 * time.Millisecond
	// simulatedWait is the time after which a lease has certainly expired.
	simulatedWait = 2 * simulatedLease
	simulatedStep = 10 * time.Millisecond
)

// simulatedInstance is an instance that learns of views late, and stalls.
type simulatedInstance struct {
	id             uint64
	partitioning   Partitioning
	viewsSeen      int
	leaseExpiresAt time.Duration
	// grantExpiresAt is the expiry of the newest granted lease, which counts once viewsNeeded views have been
	// seen.
	grantExpiresAt time.Duration
	viewsNeeded    int
	stalledUntil   time.Duration
}

// partitioningSimulation is a group whose instances join, leave, stall, and learn of views late.
type partitioningSimulation struct {
	rng       *rand.Rand
	now       time.Duration
	instances []*simulatedInstance
	open      map[uint64]bool
	expiresAt map[uint64]time.Duration // when the lease of an open session has certainly expired
	views     []View
}

func newPartitioningSimulation(seed uint64, instances int) *partitioningSimulation {
	s := &partitioningSimulation{rng: rand.New(rand.NewPCG(seed, 5)), open: map[uint64]bool{},
		expiresAt: map[uint64]time.Duration{}}
	for i := range instances {
		s.instances = append(s.instances, &simulatedInstance{id: uint64(i + 1)})
	}
	return s
}

// addView adds the view of the sessions that are open now.
func (s *partitioningSimulation) addView() {
	v := View{Number: uint64(len(s.views) + 1)}
	for _, x := range s.instances {
		if s.open[x.id] {
			v.Members = append(v.Members, Member{Session: Session{x.id, 1}})
		}
	}
	s.views = append(s.views, v)
}

// injectFault occasionally stalls an instance, or starts one that has no session.
func (s *partitioningSimulation) injectFault() {
	if s.rng.IntN(60) != 0 {
		return
	}
	x := s.instances[s.rng.IntN(len(s.instances))]
	x.stalledUntil = s.now + time.Duration(s.rng.IntN(3000))*time.Millisecond
	if s.rng.IntN(2) == 0 && !s.open[x.id] {
		s.open[x.id], x.stalledUntil = true, 0
		s.expiresAt[x.id] = s.now + simulatedWait
		s.addView()
	}
}

// step closes the instance's session if its lease has expired. Otherwise, unless the instance is stalled, it
// renews its lease and learns of views at random.
func (s *partitioningSimulation) step(x *simulatedInstance) {
	if s.open[x.id] && s.now > s.expiresAt[x.id] {
		s.open[x.id] = false
		s.addView()
	}
	if s.now < x.stalledUntil {
		return
	}
	if s.open[x.id] && s.rng.IntN(5) == 0 {
		x.grantExpiresAt, x.viewsNeeded = s.now+simulatedLease, len(s.views)
		s.expiresAt[x.id] = s.now + simulatedWait
	}
	for x.viewsSeen < len(s.views) && s.rng.IntN(4) == 0 {
		x.partitioning.SetView(s.now, s.views[x.viewsSeen], Session{x.id, 1}, simulatedWait)
		x.viewsSeen++
	}
	if x.viewsSeen >= x.viewsNeeded {
		x.leaseExpiresAt = x.grantExpiresAt
	}
}

// budgetInUse returns the sum of all partitions in use, and fails the test if two instances use the same one.
func (s *partitioningSimulation) budgetInUse(t *testing.T) (sum float64) {
	t.Helper()
	type partition struct{ index, count int }
	users := map[partition]uint64{}
	for _, x := range s.instances {
		index, count, ok := x.partitioning.Partition(s.now, x.leaseExpiresAt)
		if !ok {
			continue
		}
		sum += 1 / float64(count)
		if other, taken := users[partition{index, count}]; taken {
			t.Fatalf("at %v: instances %d and %d both use partition %d of %d", s.now, other, x.id, index,
				count)
		}
		users[partition{index, count}] = x.id
	}
	return sum
}

// In any order in which instances learn of views, the partitions in use never add up to more than the budget,
// and no two instances use the same partition.
func TestPartitionsNeverExceedTheBudget(t *testing.T) {
	const tolerance = 1e-9
	fullyUsed := 0
	for seed := range uint64(300) {
		s := newPartitioningSimulation(seed, 6)
		for s.now = time.Millisecond; s.now < 20*time.Second; s.now += simulatedStep {
			s.injectFault()
			for _, x := range s.instances {
				s.step(x)
			}
			sum := s.budgetInUse(t)
			if sum > 1+tolerance {
				t.Fatalf("seed %d, at %v: the partitions in use add up to %.3f of the budget", seed, s.now,
					sum)
			}
			if sum > 1-tolerance {
				fullyUsed++
			}
		}
	}
	if fullyUsed == 0 {
		t.Error("the whole budget was never in use")
	}
}
