package consensus

import (
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
)

// Defaults of Config's fields.
const (
	defaultElectionTicks          = 10
	defaultHeartbeatTicks         = 1
	defaultRequestTimeoutTicks    = 50
	defaultTickInterval           = 100 * time.Millisecond
	defaultSnapshotCount          = 200
	defaultSnapshotCatchUpEntries = 50
)

// Limits and timeouts. The first four configure the Raft library.
const (
	maxMessageBytes          = 1 << 20 // size of the entries in one MsgApp
	maxCommittedBytes        = 4 << 20 // size of the entries applied per Ready
	maxUncommittedBytes      = 8 << 20 // size of uncommitted entries; beyond this the leader drops proposals
	maxInflightMessages      = 64      // unacknowledged MsgApps per follower
	maxTrackedMembers        = 1024    // in maps filled from received messages
	maxPromotionLag          = 16      // entries by which a learner may lag when it is promoted to voter
	leaderTransferElections  = 3       // timeout of a leader transfer, in election timeouts
	memberActiveElections    = 2       // election timeouts without a message after which a member is inactive
	confirmationTimeoutTicks = 1       // ticks after which an unanswered leadership confirmation is repeated
)

// Config configures an Instance. Numeric fields that are zero have defaults.
type Config struct {
	Rules               clusterstate.Rules
	ElectionTicks       int    // the election timeout is drawn from 1 to 2 times this; default 10
	HeartbeatTicks      int    // default 1
	RequestTimeoutTicks int    // after which an undecided request fails; default 50
	SnapshotCount       uint64 // entries applied between snapshots; default 200
	// SnapshotCatchUpEntries is the number of entries kept in the log before a snapshot, so that followers
	// that lag slightly need no snapshot; default 50.
	SnapshotCatchUpEntries uint64
	Seed                   uint64 // of the instance's random numbers
	Logger                 logrus.FieldLogger
	TickInterval           time.Duration    // default 100 ms
	WallClock              func() time.Time // for displayed timestamps and the group's time; may be nil
	Zones                  *calendar.ZoneDB // time zones for triggers; nil means the machine's
	Labels                 []string         // capabilities of this instance that leased tasks may require
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
