// Package quarantiner recognises a request that takes down the targets that
// run it, and keeps the list of quarantined requests.
//
// Two lost targets with the same fingerprint in flight and no completed run
// quarantine it. A query runs on many targets at once, so one poison request
// can take down several of them within milliseconds while every other query
// is in flight on the same ones. A fingerprint is therefore judged one grace
// period after its first loss at the earliest: requests that merely stood
// beside it complete elsewhere in that time. A completed run excuses the losses
// reported up to one grace period before or after it, whichever order the
// reports arrive in, and ends a quarantine that has begun. The process that saw
// the completion tells its peers, because another one may have seen only the
// losses.
//
// A Quarantiner does no I/O, starts no goroutine and is owned by one goroutine.
package quarantiner
