// Package pagecheck holds the tests that keep the pages for readers of the code true: every file, package,
// identifier and command that docs/architecture.md and docs/glossary.md name exists, every package stands in
// the architecture page, and every exported identifier has a doc comment. It has no code of its own.
package pagecheck
