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

// ProcessReady processes everything that is due after an input: it persists and syncs the records, and only
// then calls handleEffects. After an error the instance must not be used any more.
//
// Persisting may take long, and a lease that is granted afterwards must not be counted from a time before it.
// The clock is therefore read again after the sync.
func ProcessReady(i *Instance, log LogStore, clock func() time.Duration, handleEffects func(Effects)) error {
	for {
		rd, ok := i.Ready()
		if !ok {
			return nil
		}
		if len(rd.Records) > 0 {
			if _, err := log.Append(rd.Records...); err != nil {
				return fmt.Errorf("append to the consensus log: %w", err)
			}
		}
		// Messages and responses acknowledge these records. If one were sent before the records are durable,
		// a crash could lose what it acknowledged.
		if rd.Sync {
			if err := log.Sync(); err != nil {
				return fmt.Errorf("sync the consensus log: %w", err)
			}
		}
		i.SetClock(clock())
		effects := i.Advance()
		if effects.Snapshot != nil {
			if err := log.WriteSnapshot(effects.Snapshot); err != nil {
				return fmt.Errorf("write the consensus snapshot: %w", err)
			}
		}
		handleEffects(effects)
	}
}
