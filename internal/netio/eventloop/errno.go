package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// retryDelay is the pause before the retry of a system call that failed because the kernel was temporarily
// out of a resource. Events are level-triggered, so without the pause the loop would spin.
const retryDelay = 20 * time.Millisecond

// isRetryable reports whether a call had no effect and may be repeated at the next event.
func isRetryable(err error) bool { return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) }

// isResourceExhausted reports whether the kernel is out of file descriptors or memory.
func isResourceExhausted(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) || errors.Is(err, unix.ENOBUFS) ||
		errors.Is(err, unix.ENOMEM)
}

// isAbortedAccept reports whether accept failed only because the connection being accepted broke. The errors
// are those listed in accept(2).
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
