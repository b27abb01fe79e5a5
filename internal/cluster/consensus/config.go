package consensus

import (
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
)

// What Config's fields mean where they are zero.
const (
	defaultElectionTicks          = 10
	defaultHeartbeatTicks         = 1
	defaultRequestTimeoutTicks    = 50
	defaultTickInterval           = 100 * time.Millisecond
	defaultSnapshotCount          = 200
	defaultSnapshotCatchUpEntries = 50
)

// Limits of the Raft library's configuration.
const (
	maxMessageBytes          = 1 << 20 // of the entries of one MsgApp
	maxCommittedBytes        = 4 << 20 // of the entries applied by one Ready
	maxUncommittedBytes      = 8 << 20 // beyond them the leader drops proposals
	maxInflightMessages      = 64      // MsgApp to one follower
	maxTrackedMembers        = 1024    // by maps that messages fill
	maxPromotionLag          = 16      // entries that a learner may be behind when it gets a vote
	leaderTransferElections  = 3       // election timeouts that a leader transfer may take
	memberActiveElections    = 2       // election timeouts without a message until a member is inactive
	confirmationTimeoutTicks = 1       // until a lost leadership confirmation is requested again
)

// Config is how an instance is run. Zero fields have defaults.
type Config struct {
	Rules               clusterstate.Rules
	ElectionTicks       int    // without a message of the leader, and up to twice as many: 10, if 0
	HeartbeatTicks      int    // 1, if 0
	RequestTimeoutTicks int    // after them a request that isn't decided gets an error: 50, if 0
	SnapshotCount       uint64 // entries applied between snapshots: 200, if 0
	// SnapshotCatchUpEntries are kept behind a snapshot for followers that lag a little: 50, if 0.
	SnapshotCatchUpEntries uint64
	Seed                   uint64
	Logger                 logrus.FieldLogger
	TickInterval           time.Duration    // 100 ms, if 0
	WallClock              func() time.Time // shown to people and base of the group's time; may be nil
	Zones                  *calendar.ZoneDB // the time zones for triggers; nil: this machine's
	Labels                 []string         // what this instance offers to leased tasks
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.RequestTimeoutTicks, defaultRequestTimeoutTicks)
	setDefault(&c.TickInterval, defaultTickInterval)
	setDefault(&c.SnapshotCount, defaultSnapshotCount)
	setDefault(&c.SnapshotCatchUpEntries, defaultSnapshotCatchUpEntries)
	return c
}

func setDefault[T int | uint64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
