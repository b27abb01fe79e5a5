package consensus

import (
	"fmt"
	"time"

	"moorstack/internal/storage/store"
)

// LogStore persists an instance's records: a store.Store.
type LogStore interface {
	Append(...store.Record) (uint64, error)
	Sync() error
	WriteSnapshot([]byte) error
}

// ProcessReady carries out what an instance wants done after an input: it persists and syncs, and only then
// calls carryOut with the effects. After an error the instance must not be used.
//
// Hazard: persisting may take long, and a lease that is granted after it must not be counted from before it.
// So the clock is read again.
func ProcessReady(i *Instance, log LogStore, clock func() time.Duration, carryOut func(Effects)) error {
	for {
		rd, ok := i.Ready()
		if !ok {
			return nil
		}
		if len(rd.Records) > 0 {
			if _, err := log.Append(rd.Records...); err != nil {
				return fmt.Errorf("writing the agreement's log: %w", err)
			}
		}
		// Hazard: a message or a response that goes out before what it promises is durable is a promise that
		// a crash breaks.
		if rd.Sync {
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
		carryOut(effects)
	}
}
