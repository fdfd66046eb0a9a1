package follower

import "time"

// SetBounds replaces the bounds that DefaultConfig derives the waits from. They apply from the
// next watch on.
func (f *Follower) SetBounds(applyBound, stabilityWindow time.Duration) {
	f.setDelays(DefaultConfig(applyBound, stabilityWindow))
}

func (f *Follower) setDelays(config Config) {
	f.watchWait.Store(int64(config.WatchWait))
	f.batchPause.Store(int64(config.BatchDelay))
}
