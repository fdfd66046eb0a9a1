package forwarder

import "time"

// retryAfterFraction is the part of a route's latency objective after which a
// refused caller may retry. It is small enough that another entry VM can still
// answer within the objective.
const retryAfterFraction = 0.1

// RetryAfter returns the delay after which a caller may retry a request that was
// refused because no target could take it.
func RetryAfter(latencyObjective time.Duration) time.Duration {
	return time.Duration(retryAfterFraction * float64(latencyObjective))
}
