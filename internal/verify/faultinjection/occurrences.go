package faultinjection

import (
	"strconv"
	"strings"
)

// occurrence is what the journals say of one occurrence of a trigger.
type occurrence struct {
	number      string
	at          int64 // Unix seconds
	submissions []submission
	outcome     string // the number of a schedule.Outcome; empty: none yet
}

// submission is that an instance has submitted an occurrence's job.
type submission struct {
	auditEntry
	adopted bool   // the occurrence was another session's before
	answer  string // empty: none yet
}

// occurrenceReader reads the journals' entries on triggers in their order.
type occurrenceReader struct {
	list  map[string]*occurrence // by key: the trigger's name, @ and the time
	found *triggerAudit
}

// readOccurrences reads what the instances have written of triggers, by the occurrences' keys. What
// contradicts itself is added to found.
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
		r.found.violate("%s: %q is no line on a trigger", e.instance, e.args)
		return
	}
	switch event {
	case "pass":
		r.found.violate("%s: %s occurrences of %s were passed over", e.instance, args[1], key)
	case "intend":
		r.intended(key, args)
	case "settle":
		r.settled(key, args)
	case "fire":
		r.submitted(e, key, args)
	case "answer":
		r.answered(e, key, args)
	}
}

func (r *occurrenceReader) of(key string) *occurrence {
	o := r.list[key]
	if o == nil {
		o = &occurrence{}
		r.list[key] = o
	}
	return o
}

// intended reads: number, Unix seconds.
func (r *occurrenceReader) intended(key string, args []string) {
	o := r.of(key)
	if o.number != "" && o.number != args[0] {
		r.found.violate("%s was intended as %s and as %s", key, o.number, args[0])
	}
	o.number = args[0]
	o.at, _ = strconv.ParseInt(args[1], 10, 64)
}

// settled reads the outcome, the fourth argument.
func (r *occurrenceReader) settled(key string, args []string) {
	o := r.of(key)
	if o.outcome != "" && o.outcome != args[3] {
		r.found.violate("%s has ended as %s and as %s", key, o.outcome, args[3])
	}
	o.outcome = args[3]
}

// submitted reads: number, session epoch, Unix seconds, whether adopted.
func (r *occurrenceReader) submitted(e auditEntry, key string, args []string) {
	o := r.of(key)
	o.submissions = append(o.submissions, submission{auditEntry: e, adopted: args[3] == "true"})
	if at, _ := strconv.ParseInt(args[2], 10, 64); o.at == 0 {
		o.at = at
	}
}

// answered reads the answer to the instance's newest submission that has none.
func (r *occurrenceReader) answered(e auditEntry, key string, args []string) {
	submissions := r.of(key).submissions
	for n := len(submissions) - 1; n >= 0; n-- {
		if submissions[n].instance == e.instance && submissions[n].answer == "" {
			submissions[n].answer = args[1]
			return
		}
	}
}
