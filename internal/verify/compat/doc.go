// Package compat compares two ways of doing one thing in its tests: what is built here beside a plain way, a
// library's way, or the way of an earlier commit. A test reports what differs, and whether that is explained.
package compat
