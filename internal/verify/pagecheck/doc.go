// Package pagecheck holds tests that keep the developer documentation in step with the code: every file,
// package, identifier and command named in docs/architecture.md and docs/glossary.md exists,
// docs/architecture.md names every package, and every exported identifier has a doc comment. The package
// contains only tests.
package pagecheck
