package forwarder

import "time"

// retryShare is the part of a route's aim after which a refused caller returns:
// early enough that another entry VM can still answer within the aim.
const retryShare = 0.1

// RetryAfter returns when a caller may return whose request was refused because
// no target could take it.
func RetryAfter(aim time.Duration) time.Duration {
	return time.Duration(retryShare * float64(aim))
}
