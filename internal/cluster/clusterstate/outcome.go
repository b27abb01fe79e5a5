package clusterstate

// maxOutcomes is the maximum number of outcomes that are remembered. If a client repeats a change whose
// outcome has been forgotten, the change is rejected as a conflict, because its base revision is no longer
// current.
const maxOutcomes = 4096

// OutcomeCode is the kind of an outcome. Snapshots contain its numbers, so they must not change.
type OutcomeCode uint8

// The outcome codes.
const (
	Accepted  OutcomeCode = iota
	Conflict              // the base revision is not the current one
	Invalid               // the document or command is invalid
	TooLarge              // a size limit is exceeded
	Unchanged             // the document equals the one in force
	Withdrawn             // the pending change was dropped, so it is in force on no instance
)

// String returns the text that is shown to operators.
func (c OutcomeCode) String() string {
	texts := [...]string{"accepted", "conflict", "invalid", "too large", "unchanged", "withdrawn"}
	return texts[min(int(c), len(texts)-1)]
}

// Outcome is the outcome of a change or command. It is the same on every instance.
type Outcome struct {
	Code     OutcomeCode `json:"code"`
	Revision uint64      `json:"revision"` // the one that the change created, or the current one
	Problems []string    `json:"problems,omitempty"`
}

// outcomeLog has the latest outcomes by the IDs of their changes and commands.
type outcomeLog struct {
	byID map[string]Outcome
	ids  []string // oldest first
}

func newOutcomeLog() outcomeLog { return outcomeLog{byID: map[string]Outcome{}} }

func (l *outcomeLog) get(id string) (Outcome, bool) {
	o, ok := l.byID[id]
	return o, ok
}

// add adds an outcome, and removes the oldest one if the log is full.
func (l *outcomeLog) add(id string, o Outcome) {
	if len(l.ids) >= maxOutcomes {
		delete(l.byID, l.ids[0])
		l.ids = append(l.ids[:0], l.ids[1:]...)
	}
	l.byID[id] = o
	l.ids = append(l.ids, id)
}

// addIfValid adds an outcome unless its ID is empty or too long.
func (l *outcomeLog) addIfValid(id string, o Outcome) {
	if id != "" && len(id) <= maxNameBytes {
		l.add(id, o)
	}
}
