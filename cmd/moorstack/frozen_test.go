package main

import (
	"testing"

	"moorstack/internal/frozen/golden"
)

// Scripts and the operators' pages call the commands as they are: none is removed, and no flag changes its
// name, type or default.
func TestCommandsAreFrozen(t *testing.T) {
	t.Parallel()
	golden.Compare(t, "commands.txt", golden.Commands(newRoot()))
}
