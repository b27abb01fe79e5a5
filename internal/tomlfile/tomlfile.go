// Package tomlfile reads the files that people write for the program: TOML in which an
// unknown key is an error. Every error names the file, and the line and key where there
// is one.
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
	Line    int // from 1; 0: the whole file
	Key     string
	Message string
}

func (e *Error) Error() string {
	at := e.Path
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.Path, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", at, e.Key, e.Message)
	}
	return fmt.Sprintf("%s: %s", at, e.Message)
}

// Read reads a file into v.
func Read(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Decode(path, b, v)
}

// Decode reads a file's content into v.
func Decode(path string, b []byte, v any) error {
	meta, err := toml.Decode(string(b), v)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return &Error{Path: path, Line: parse.Position.Line, Key: parse.LastKey, Message: parse.Message}
		}
		return &Error{Path: path, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return &Error{Path: path, Line: LineOfKey(b, key), Key: key, Message: "this key is not known here"}
	}
	return nil
}

// ErrorAt makes an error about a key of a file that has been read.
func ErrorAt(path string, b []byte, key, format string, args ...any) error {
	return &Error{Path: path, Line: LineOfKey(b, key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// LineOfKey finds the line on which a key, with its tables' names before it, stands first. It
// is 0 where the key is not written in one of the usual ways.
func LineOfKey(b []byte, key string) int {
	table := ""
	for i, line := range strings.Split(string(b), "\n") {
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

// LineOfTable finds the line of the nth table, from 0, of an array of tables.
func LineOfTable(b []byte, array string, n int) int {
	for i, line := range strings.Split(string(b), "\n") {
		if strings.TrimSpace(line) == "[["+array+"]]" {
			if n--; n < 0 {
				return i + 1
			}
		}
	}
	return 0
}
