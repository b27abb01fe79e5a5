package adminproto

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Handler carries out the commands. All of it is called on the node's loop, and what a command requests is in
// force when its method returns. The error of a method becomes the text of the NAK.
type Handler interface {
	// Ready is nil while this process is ready to serve, or reports why it is not.
	Ready() error
	// AppendMetrics appends the metrics to dst, as one line of JSON without its end.
	AppendMetrics(dst []byte) []byte
	// StartMaintenance takes the endpoint of an id out, EndMaintenance puts it back.
	StartMaintenance(id string) error
	EndMaintenance(id string) error
	// Standby drains the node, EndStandby ends that.
	Standby() error
	EndStandby() error
}

// maxLineBytes is the length of the longest command that is read, without the line's end.
const maxLineBytes = 512

var (
	errNotText = errors.New("the call is no plain text")
	errEmpty   = errors.New("the call is empty")
	errTooLong = fmt.Errorf("the call is longer than %d bytes", maxLineBytes)
)

// statsCommand is the one command whose reply is not an ACK.
const statsCommand = "stats"

// command is one of the commands.
type command struct {
	name    string
	takesID bool // of an endpoint
	run     func(h Handler, id string) error
}

var commands = [...]command{
	{"status", false, func(h Handler, _ string) error { return h.Ready() }},
	{statsCommand, false, func(Handler, string) error { return nil }},
	{"maint-on", true, func(h Handler, id string) error { return h.StartMaintenance(id) }},
	{"maint-off", true, func(h Handler, id string) error { return h.EndMaintenance(id) }},
	{"standby", false, func(h Handler, _ string) error { return h.Standby() }},
	{"active", false, func(h Handler, _ string) error { return h.EndStandby() }},
}

// HandleLine carries out the command in a line, which comes without its end, and appends the reply to dst.
func HandleLine(dst, line []byte, h Handler) []byte {
	c, id, err := parse(line)
	if err == nil {
		err = c.run(h, id)
	}
	if err != nil {
		return appendNAK(dst, err)
	}
	if c.name == statsCommand {
		return append(h.AppendMetrics(dst), "\n--\n"...)
	}
	dst = append(dst, "ACK "...)
	dst = append(dst, c.name...)
	if c.takesID {
		dst = append(append(dst, ' '), id...)
	}
	return append(dst, '\n')
}

// appendNAK appends the reply to a command that has failed. What the error quotes must not end the reply
// early.
func appendNAK(dst []byte, err error) []byte {
	return append(fmt.Appendf(dst, "NAK %s", strings.ReplaceAll(err.Error(), "\n", " ")), '\n')
}

// parse reads a command. An id is what stands between blanks: whether an endpoint has it is for the handler
// to check.
func parse(line []byte) (c *command, id string, err error) {
	for _, b := range line {
		if b != '\t' && (b < ' ' || b > '~') {
			return nil, "", errNotText
		}
	}
	fields := bytes.Fields(line)
	if len(fields) == 0 {
		return nil, "", errEmpty
	}
	for i := range commands {
		if string(fields[0]) == commands[i].name {
			id, err := commands[i].argument(fields)
			return &commands[i], id, err
		}
	}
	return nil, "", fmt.Errorf("%q is no call; there are %s", fields[0], usage())
}

// argument is the id among a line's fields, of which the first is the command's name.
func (c *command) argument(fields [][]byte) (id string, err error) {
	switch {
	case c.takesID && len(fields) == 1:
		return "", fmt.Errorf("%s wants the id of a trip worker: %s ID", c.name, c.name)
	case c.takesID && len(fields) == 2:
		return string(fields[1]), nil
	case len(fields) > 1:
		return "", fmt.Errorf("%s takes nothing after %q", c.name, fields[len(fields)-2])
	}
	return "", nil
}

// usage names the commands for an operator who has mistyped one.
func usage() string {
	names := make([]string, 0, len(commands))
	for _, c := range commands {
		if c.takesID {
			names = append(names, c.name+" ID")
			continue
		}
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}
