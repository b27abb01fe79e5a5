// Package admin is the second address, at which operators call: one line to a
// connection, one answer that begins with ACK or NAK. It reads a call, has the node
// carry it out through Node, and writes the answer. It keeps no state and decides
// nothing.
package adminproto

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Handler is what operators ask of. All of it is called on the node's loop, and what it
// answers holds already when it returns.
type Handler interface {
	// Ready is nil while this process is ready to serve, or says why it is not.
	Ready() error
	// AppendMetrics appends the figures to dst, as one line.
	AppendMetrics(dst []byte) []byte
	// StartMaintenance takes a next hop out, Unban puts it back.
	StartMaintenance(id string) error
	EndMaintenance(id string) error
	// Standby drains the node, Active ends that.
	Standby() error
	EndStandby() error
}

// MaxLineBytes is the longest call that is read.
const MaxLineBytes = 512

var (
	errText  = errors.New("the call is no plain text")
	errBlank = errors.New("the call is empty")
	errLong  = fmt.Errorf("the call is longer than %d bytes", MaxLineBytes)
)

// verb is one of the calls.
type verb struct {
	name  string
	id    bool // it names a next hop
	about string
	do    func(n Handler, id string) error
}

var verbs = [...]verb{
	{
		"status",
		false,
		"is this process ready to serve?",
		func(n Handler, _ string) error { return n.Ready() },
	},
	{"stats", false, "the figures, then a line --", func(Handler, string) error { return nil }},
	{
		"maint-on",
		true,
		"take that trip worker out",
		func(n Handler, id string) error { return n.StartMaintenance(id) },
	},
	{"maint-off", true, "put it back", func(n Handler, id string) error { return n.EndMaintenance(id) }},
	{"standby", false, "drain", func(n Handler, _ string) error { return n.Standby() }},
	{"active", false, "end of the drain", func(n Handler, _ string) error { return n.EndStandby() }},
}

// HandleLine carries out the call in a line, without its end, and appends the answer to dst.
func HandleLine(dst, line []byte, n Handler) []byte {
	v, id, err := parse(line)
	if err == nil {
		err = v.do(n, id)
	}
	if err != nil {
		return append(fmt.Appendf(dst, "NAK %s", oneLine(err)), '\n')
	}
	if v.name == "stats" {
		return append(n.AppendMetrics(dst), "\n--\n"...)
	}
	dst = append(dst, "ACK "...)
	dst = append(dst, v.name...)
	if v.id {
		dst = append(append(dst, ' '), id...)
	}
	return append(dst, '\n')
}

// oneLine keeps what an error quotes from ending the answer early.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

// parse reads a call. An id is what stands between the words' blanks; it is no more
// than what the list calls a next hop, and so whether there is one is the node's to say.
func parse(line []byte) (*verb, string, error) {
	for _, b := range line {
		if b != '\t' && (b < ' ' || b > '~') {
			return nil, "", errText
		}
	}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return nil, "", errBlank
	}
	for i := range verbs {
		v := &verbs[i]
		if string(words[0]) != v.name {
			continue
		}
		switch {
		case v.id && len(words) == 1:
			return nil, "", fmt.Errorf("%s wants the id of a trip worker: %s ID", v.name, v.name)
		case v.id && len(words) == 2:
			return v, string(words[1]), nil
		case len(words) > 1:
			return nil, "", fmt.Errorf("%s takes nothing after %q", v.name, words[len(words)-2])
		}
		return v, "", nil
	}
	return nil, "", fmt.Errorf("%q is no call; there are %s", words[0], calls())
}

// calls names the calls for who has mistyped one.
func calls() string {
	names := make([]string, 0, len(verbs))
	for _, v := range verbs {
		if v.id {
			names = append(names, v.name+" ID")
			continue
		}
		names = append(names, v.name)
	}
	return strings.Join(names, ", ")
}
