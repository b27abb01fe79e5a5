package main

import (
	"testing"

	"moorstack/internal/frozen/golden"
)

// Scripts and the operators' pages depend on the commands: none may be removed, and no flag may change its
// name, type or default.
func TestCommandsAreFrozen(t *testing.T) {
	t.Parallel()
	golden.Compare(t, "commands.txt", golden.Commands(newRoot()))
}
