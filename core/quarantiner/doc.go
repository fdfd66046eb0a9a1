// Package quarantiner detects requests that crash the targets that run them,
// and keeps the list of quarantined requests.
//
// A request is quarantined when two targets are lost with it in flight and no run
// of it completes at the same part of the index: the targets of one shard may run
// a request that crashes those of another. A query runs on many targets at once,
// so one poison request can crash several of them within milliseconds while every
// other query is in flight on the same targets. The decision is therefore taken at
// the earliest one grace period after the first loss: the other requests complete
// elsewhere in that time. A completed run cancels the losses of its part reported
// before it, discounts those reported up to one grace period after it, and ends a
// quarantine that depends on them. The process that saw the completion publishes a
// clearance, because its peers may have received only the loss reports.
//
// A Quarantiner does no I/O, starts no goroutine and must be used by one
// goroutine only.
package quarantiner
