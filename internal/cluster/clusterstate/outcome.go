package clusterstate

// maxOutcomes is how many outcomes are remembered. A client that repeats a change whose id has been
// forgotten gets a conflict instead: its base revision is no longer the current one.
const maxOutcomes = 4096

// OutcomeCode is what became of a change or command.
type OutcomeCode uint8

// The outcomes.
const (
	Accepted  OutcomeCode = iota
	Conflict              // the base revision is not the current one
	Invalid               // the document or command is rejected
	TooLarge              // it is over a bound
	Unchanged             // the document equals the one in force
	Withdrawn             // it could not come into force everywhere, and so did nowhere
)

// String returns the outcome as operators read it.
func (c OutcomeCode) String() string {
	texts := [...]string{"accepted", "conflict", "invalid", "too large", "unchanged", "withdrawn"}
	return texts[min(int(c), len(texts)-1)]
}

// Outcome is what became of a change or command, at every instance the same.
type Outcome struct {
	Code     OutcomeCode `json:"code"`
	Revision uint64      `json:"revision"` // that it made, or the current one
	Problems []string    `json:"problems,omitempty"`
}

// outcomeLog remembers the latest outcomes by the ids of their changes and commands.
type outcomeLog struct {
	byID map[string]Outcome
	ids  []string // oldest first
}

func newOutcomeLog() outcomeLog { return outcomeLog{byID: map[string]Outcome{}} }

func (l *outcomeLog) get(id string) (Outcome, bool) {
	o, ok := l.byID[id]
	return o, ok
}

// add remembers an outcome and forgets the oldest one if there are too many.
func (l *outcomeLog) add(id string, o Outcome) {
	if len(l.ids) >= maxOutcomes {
		delete(l.byID, l.ids[0])
		l.ids = append(l.ids[:0], l.ids[1:]...)
	}
	l.byID[id] = o
	l.ids = append(l.ids, id)
}

// addIfValid remembers an outcome unless its id is empty or too long.
func (l *outcomeLog) addIfValid(id string, o Outcome) {
	if id != "" && len(id) <= maxNameBytes {
		l.add(id, o)
	}
}
