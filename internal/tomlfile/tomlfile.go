// Package tomlfile reads TOML configuration files strictly: an unknown key is an error. Every error names
// the file and, if known, the line and the key.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// Error describes an invalid file.
type Error struct {
	Path    string
	Line    int    // from 1; 0 if unknown
	Key     string // full dotted key with its tables; empty if unknown
	Message string
}

// Error returns the error as "path:line: key: message". The line and the key are omitted if unknown.
func (e *Error) Error() string {
	where := e.Path
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.Path, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", where, e.Key, e.Message)
	}
	return fmt.Sprintf("%s: %s", where, e.Message)
}

// Read decodes a file into v. It fails with an *Error if the content is invalid.
func Read(path string, v any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Decode(path, content, v)
}

// Decode decodes the content of a file into v. It fails with an *Error if the content is invalid.
func Decode(path string, content []byte, v any) error {
	meta, err := toml.Decode(string(content), v)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return &Error{Path: path, Line: parse.Position.Line, Key: parse.LastKey, Message: parse.Message}
		}
		return &Error{Path: path, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return ErrorAt(path, content, unknown[0].String(), "this key is not known here")
	}
	return nil
}

// ErrorAt returns an *Error about a key, with the line that sets the key.
func ErrorAt(path string, content []byte, key, format string, args ...any) error {
	return &Error{Path: path, Line: lineOfKey(content, key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// lineOfKey returns the first line, counted from 1, that sets a key, given as a full dotted key. It
// returns 0 if no line sets it in the form "key = value" or as a table header; it does not find keys of
// inline tables, for example.
func lineOfKey(content []byte, key string) int {
	table := ""
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			name, _, _ := strings.Cut(strings.Trim(line, "["), "]")
			table = strings.TrimSpace(name)
			if table == key {
				return i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		name = strings.Trim(strings.TrimSpace(name), `"'`)
		if table != "" {
			name = table + "." + name
		}
		if name == key {
			return i + 1
		}
	}
	return 0
}

// LineOfTable returns the line, counted from 1, of the header of the nth table, counted from 0, of an
// array of tables. It returns 0 if there is no such table.
func LineOfTable(content []byte, array string, n int) int {
	for i, line := range strings.Split(string(content), "\n") {
		if strings.TrimSpace(line) == "[["+array+"]]" {
			if n--; n < 0 {
				return i + 1
			}
		}
	}
	return 0
}
