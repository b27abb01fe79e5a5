package faultinjection

import (
	"strconv"
	"strings"
)

// occurrence holds the journals' entries on one occurrence of a trigger.
type occurrence struct {
	number      string
	at          int64 // Unix seconds
	submissions []submission
	outcome     string // a schedule.Outcome as a number; empty: none yet
}

// submission records that an instance submitted an occurrence's job.
type submission struct {
	auditEntry
	adopted  bool   // the occurrence belonged to another session before
	response string // empty: none yet
}

// occurrenceReader processes the journals' entries on triggers in their order.
type occurrenceReader struct {
	list  map[string]*occurrence // by key: the trigger's name, "@" and the time
	found *triggerAudit
}

// readOccurrences returns the occurrences in the journals of all instances, by their keys. It adds
// contradictions, skipped occurrences and invalid entries to the violations of found.
func readOccurrences(all []auditEntry, found *triggerAudit) map[string]*occurrence {
	r := &occurrenceReader{list: map[string]*occurrence{}, found: found}
	for _, e := range all {
		switch e.event {
		case "agreed", "fire", "answer":
			r.read(e)
		}
	}
	return r.list
}

func (r *occurrenceReader) read(e auditEntry) {
	event, rest := e.event, e.args
	if event == "agreed" {
		event, rest, _ = strings.Cut(rest, " ")
	}
	key, rest, err := unquote(rest)
	args := strings.Fields(rest)
	if err != nil || len(args) < 2 {
		r.found.violate("%s: invalid journal entry on a trigger: %q", e.instance, e.args)
		return
	}
	switch event {
	case "pass":
		r.found.violate("%s: %s occurrences of %s were skipped", e.instance, args[1], key)
	case "intend":
		r.readIntent(key, args)
	case "settle":
		r.readOutcome(key, args)
	case "fire":
		r.readSubmission(e, key, args)
	case "answer":
		r.readResponse(e, key, args)
	}
}

func (r *occurrenceReader) occurrence(key string) *occurrence {
	o := r.list[key]
	if o == nil {
		o = &occurrence{}
		r.list[key] = o
	}
	return o
}

// readIntent processes the arguments: number, Unix seconds.
func (r *occurrenceReader) readIntent(key string, args []string) {
	o := r.occurrence(key)
	if o.number != "" && o.number != args[0] {
		r.found.violate("%s was intended with the numbers %s and %s", key, o.number, args[0])
	}
	o.number = args[0]
	o.at, _ = strconv.ParseInt(args[1], 10, 64)
}

// readOutcome processes the outcome, which is the fourth argument.
func (r *occurrenceReader) readOutcome(key string, args []string) {
	o := r.occurrence(key)
	if o.outcome != "" && o.outcome != args[3] {
		r.found.violate("%s has the outcomes %s and %s", key, o.outcome, args[3])
	}
	o.outcome = args[3]
}

// readSubmission processes the arguments: number, session epoch, Unix seconds, whether adopted.
func (r *occurrenceReader) readSubmission(e auditEntry, key string, args []string) {
	o := r.occurrence(key)
	o.submissions = append(o.submissions, submission{auditEntry: e, adopted: args[3] == "true"})
	if at, _ := strconv.ParseInt(args[2], 10, 64); o.at == 0 {
		o.at = at
	}
}

// readResponse records the response, which is the second argument, for the instance's newest submission
// without one.
func (r *occurrenceReader) readResponse(e auditEntry, key string, args []string) {
	submissions := r.occurrence(key).submissions
	for n := len(submissions) - 1; n >= 0; n-- {
		if submissions[n].instance == e.instance && submissions[n].response == "" {
			submissions[n].response = args[1]
			return
		}
	}
}
