package consensus

import (
	"fmt"
	"time"

	"moorstack/internal/storage/store"
)

// LogStore is where an instance's records go: a store.Store.
type LogStore interface {
	Append(...store.Record) (uint64, error)
	Sync() error
	WriteSnapshot([]byte) error
}

// ProcessReady carries out what an instance wants done after an input: it writes, syncs, and
// only then has the effects carried out. After an error the instance must not be used.
//
// Hazard: the writing may take long, and what is granted after it must not be counted from
// before it. So the clock is read again.
func ProcessReady(i *Instance, log LogStore, clock func() time.Duration, carry func(Effects)) error {
	for {
		work, ok := i.Ready()
		if !ok {
			return nil
		}
		if len(work.Records) > 0 {
			if _, err := log.Append(work.Records...); err != nil {
				return fmt.Errorf("writing the agreement's log: %w", err)
			}
		}
		// Hazard: a message or an answer that goes out before what it promises is durable
		// is a promise that a crash breaks.
		if work.Sync {
			if err := log.Sync(); err != nil {
				return fmt.Errorf("writing the agreement's log: %w", err)
			}
		}
		i.SetClock(clock())
		effects := i.Advance()
		if effects.Snapshot != nil {
			if err := log.WriteSnapshot(effects.Snapshot); err != nil {
				return fmt.Errorf("writing the agreement's snapshot: %w", err)
			}
		}
		carry(effects)
	}
}
