package main

// eventKind is a kind of event: its name on the wire, the fields that it can't do without, and its handler.
type eventKind struct {
	name        string
	required    fieldSet
	beginsBatch bool
	// One of the two: handle takes events of the whole process, deliver those of one dispatcher.
	handle  func(*server, *event) error
	deliver func(*server, *dispatcher, *event) error
}

// eventKinds are all kinds of event, by name. init fills it, for the handlers refer to it through the
// decoder.
var eventKinds = map[string]*eventKind{}

func init() {
	for _, k := range []eventKind{
		{name: "batch", required: fields("moment"), beginsBatch: true, handle: (*server).beginBatch},
		{name: "commit", handle: (*server).commitBatch},
		{name: "spawn", required: fields("who", "entropy", "params"), handle: (*server).startDispatcher},
		{name: "snapshot_rows", required: fields("slot", "rows_in"), handle: (*server).setList},
		{name: "sync", required: fields("who", "form"), deliver: (*server).updateWorkers},
		{name: "new_request", required: fields("who", "handle", "tier_class", "remaining"),
			deliver: (*server).submit},
		{name: "aborted", required: fields("who", "handle"), deliver: (*server).clientDisconnected},
		{name: "outcome", required: fields("who", "handle", "result", "go", "worker"),
			deliver: (*server).attemptEnded},
		{name: "established", required: fields("who", "handle", "go", "worker"),
			deliver: (*server).streamStarted},
		{name: "interim", required: fields("who", "handle", "go", "sort", "worker"),
			deliver: (*server).attemptProgressed},
		{name: "probe_done", required: fields("who", "worker", "result"), deliver: (*server).healthChecked},
		{name: "note_from", required: fields("who", "by"), deliver: (*server).receivePeer},
		{name: "elapsed", required: fields("who", "mark"), deliver: (*server).timerFired},
		{name: "kill", required: fields("who"), deliver: (*server).stopDispatcher},
	} {
		eventKinds[k.name] = &k
	}
}
