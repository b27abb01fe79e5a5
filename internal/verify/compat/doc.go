// Package compat holds tests that compare this module's implementations with others: a straightforward
// reference implementation, a library, or an earlier commit. The tests report the differences and fail on
// unexplained ones.
package compat
