package adminproto

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// Handler executes the commands. Its methods are called on the node's loop, and a command has taken effect
// when its method returns. The error of a method becomes the text after NAK.
type Handler interface {
	// Ready returns nil if this process is ready to serve, otherwise the reason why it is not.
	Ready() error
	// AppendMetrics appends the metrics to dst as one line of JSON without a line ending.
	AppendMetrics(dst []byte) []byte
	// StartMaintenance excludes the endpoint with the ID from new jobs, EndMaintenance readmits it.
	StartMaintenance(id string) error
	EndMaintenance(id string) error
	// Standby drains the node, EndStandby makes it serve again.
	Standby() error
	EndStandby() error
}

// maxLineBytes is the maximum length of a command line, without its line ending.
const maxLineBytes = 512

var (
	errNotText = errors.New("the call is no plain text")
	errEmpty   = errors.New("the call is empty")
	errTooLong = fmt.Errorf("the call is longer than %d bytes", maxLineBytes)
)

// statsCommand is the only command that replies with metrics instead of an ACK.
const statsCommand = "stats"

// command describes an admin command.
type command struct {
	name       string
	requiresID bool // the argument is the ID of an endpoint
	run        func(h Handler, id string) error
}

var commands = [...]command{
	{"status", false, func(h Handler, _ string) error { return h.Ready() }},
	{statsCommand, false, func(Handler, string) error { return nil }},
	{"maint-on", true, func(h Handler, id string) error { return h.StartMaintenance(id) }},
	{"maint-off", true, func(h Handler, id string) error { return h.EndMaintenance(id) }},
	{"standby", false, func(h Handler, _ string) error { return h.Standby() }},
	{"active", false, func(h Handler, _ string) error { return h.EndStandby() }},
}

// HandleLine executes the command in a line without line ending, and appends the reply to dst.
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
	if c.requiresID {
		dst = append(append(dst, ' '), id...)
	}
	return append(dst, '\n')
}

// appendNAK appends the reply to a failed command. It replaces line breaks in the error's text, which would
// end the reply early.
func appendNAK(dst []byte, err error) []byte {
	return append(fmt.Appendf(dst, "NAK %s", strings.ReplaceAll(err.Error(), "\n", " ")), '\n')
}

// parse parses a command line. It accepts any word as an ID; the handler checks whether an endpoint has that
// ID.
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

// argument returns the ID in the fields of a line, the first of which is the command's name. It returns an
// error if the number of arguments is wrong.
func (c *command) argument(fields [][]byte) (id string, err error) {
	switch {
	case c.requiresID && len(fields) == 1:
		return "", fmt.Errorf("%s wants the id of a trip worker: %s ID", c.name, c.name)
	case c.requiresID && len(fields) == 2:
		return string(fields[1]), nil
	case len(fields) > 1:
		return "", fmt.Errorf("%s takes nothing after %q", c.name, fields[len(fields)-2])
	}
	return "", nil
}

// usage lists the commands, for the reply to an unknown one.
func usage() string {
	names := make([]string, 0, len(commands))
	for _, c := range commands {
		if c.requiresID {
			names = append(names, c.name+" ID")
			continue
		}
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}
