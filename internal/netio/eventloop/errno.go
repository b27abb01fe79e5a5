package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// retryDelay is how long a system call is not repeated that failed for want of something that the kernel may
// have again soon.
//
// Hazard: events are level-triggered, and would be reported again and again meanwhile.
const retryDelay = 20 * time.Millisecond

// isRetryable reports whether a call did nothing and may be repeated at the next event.
func isRetryable(err error) bool { return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) }

// isResourceExhausted reports whether descriptors, or the kernel's memory, have run out.
func isResourceExhausted(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ENOBUFS) ||
		errors.Is(err, unix.ENOMEM)
}

// isAbortedAccept reports whether only the connection broke that would have been accepted, as accept(2) lists
// the errors.
func isAbortedAccept(err error) bool {
	for _, e := range []unix.Errno{unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENOPROTOOPT,
		unix.ENETDOWN, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.ENETUNREACH,
		unix.EOPNOTSUPP, unix.ETIMEDOUT, unix.EPERM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
