package main

// eventKind is a kind of event: its name on the wire, its required fields, and its handler.
type eventKind struct {
	name        string
	required    fieldSet
	beginsBatch bool
	// Exactly one of the two is set: handle handles events for the whole process, deliver those for one
	// dispatcher.
	handle  func(*server, *event) error
	deliver func(*server, *dispatcher, *event) error
}

// eventKinds are all kinds of event, by name. It is filled by init, because the handlers refer to it through
// the decoder: an initializer would be a cycle.
var eventKinds = map[string]*eventKind{}

func init() {
	for _, k := range []eventKind{
		{name: "batch", required: fieldSetOf("moment"), beginsBatch: true, handle: (*server).beginBatch},
		{name: "commit", handle: (*server).commitBatch},
		{name: "spawn", required: fieldSetOf("who", "entropy", "params"), handle: (*server).startDispatcher},
		{name: "snapshot_rows", required: fieldSetOf("slot", "rows_in"), handle: (*server).setList},
		{name: "sync", required: fieldSetOf("who", "form"), deliver: (*server).updateWorkers},
		{name: "new_request", required: fieldSetOf("who", "handle", "tier_class", "remaining"),
			deliver: (*server).submit},
		{name: "aborted", required: fieldSetOf("who", "handle"), deliver: (*server).clientDisconnected},
		{name: "outcome", required: fieldSetOf("who", "handle", "result", "go", "worker"),
			deliver: (*server).attemptEnded},
		{name: "established", required: fieldSetOf("who", "handle", "go", "worker"),
			deliver: (*server).streamStarted},
		{name: "interim", required: fieldSetOf("who", "handle", "go", "sort", "worker"),
			deliver: (*server).attemptProgressed},
		{name: "probe_done", required: fieldSetOf("who", "worker", "result"),
			deliver: (*server).healthChecked},
		{name: "note_from", required: fieldSetOf("who", "by"), deliver: (*server).receivePeer},
		{name: "elapsed", required: fieldSetOf("who", "mark"), deliver: (*server).timerFired},
		{name: "kill", required: fieldSetOf("who"), deliver: (*server).stopDispatcher},
	} {
		eventKinds[k.name] = &k
	}
}
