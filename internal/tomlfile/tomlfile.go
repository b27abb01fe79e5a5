// Package tomlfile reads the TOML files that people write for the program, in which an unknown key
// is an error. Every error names the file, and the line and key where there is one.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// Error is what is wrong with a file.
type Error struct {
	Path    string
	Line    int    // from 1; 0: the whole file
	Key     string // with its tables' names before it; empty: no certain one
	Message string
}

// Error formats the error as path:line: key: message.
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

// Read decodes a file into v. It fails with an *Error if the content is wrong.
func Read(path string, v any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Decode(path, content, v)
}

// Decode decodes a file's content into v. It fails with an *Error if the content is wrong.
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

// ErrorAt returns an error about a key of a file's content.
func ErrorAt(path string, content []byte, key, format string, args ...any) error {
	return &Error{Path: path, Line: lineOfKey(content, key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// lineOfKey returns the first line, from 1, that sets a key, given with its tables' names before it.
// It is 0 where the key is not written in one of the usual ways.
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

// LineOfTable returns the line, from 1, of the nth table, from 0, of an array of tables; 0: there is
// none.
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
