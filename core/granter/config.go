// Package granter decides which requests of a workspace are within its quota, over all VMs
// together. It has no I/O: time, random numbers and messages are passed in.
//
// One VM, the keeper, holds the token bucket of a workspace. The others ask it for tokens,
// and the deputy of their failure domain while they do not reach it.
package granter

import "time"

// Bounds are the platform's bounds of all quotas. The zero value disables quotas.
type Bounds struct {
	// Window is the length of the sliding window in which requests are counted.
	Window time.Duration
	// Overage is the share of the quota, and Slack the number of requests, that may be
	// admitted beyond the quota in a window.
	Overage, Slack float64
}

// Limit is the quota of a workspace.
type Limit struct {
	// Rate is the number of requests a second, and Burst what is admitted beyond it at once.
	Rate, Burst float64
}

// Workspace is a workspace with a quota.
type Workspace struct {
	Name string
	Limit
}

// margin returns how many requests beyond the quota may be admitted in a window.
func (b Bounds) margin(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// How the margin is divided. VMs use the reserve only while no VM grants. What is left covers
// returned tokens and chance in the use of the reserve.
const (
	// bucketOverage and bucketSlack are the shares of overage and slack that enlarge the
	// bucket, and rateOverage is the share of the overage that enlarges the rate. Otherwise a
	// random load at 0.9 of a quota of a few requests a second is refused more often than 1
	// in 200. Outstanding credit takes up room in the bucket.
	bucketOverage = 0.4
	bucketSlack   = 0.6
	rateOverage   = 0.2
	// rateSlack is the share of the slack that enlarges the rate, up to rate x overage.
	rateSlack = 0.05
	// creditShare bounds the outstanding credit.
	creditShare = 0.25
	// evenReserve and sharedReserve are the reserve of all VMs for a window. The first part is
	// divided evenly, the second one like the tokens that were granted lately: callers stick to
	// VMs, so most VMs have none of a small workspace.
	evenReserve   = 0.1
	sharedReserve = 0.2
)

// capacity returns the size of the bucket of all VMs together.
func (b Bounds) capacity(l Limit) float64 {
	quota := l.Rate*b.Window.Seconds() + l.Burst
	return l.Burst + bucketOverage*b.Overage*quota + bucketSlack*b.Slack
}

// rate returns the tokens that accrue in a second.
func (b Bounds) rate(l Limit) float64 {
	added := rateOverage*b.Overage*l.Rate + rateSlack*b.Slack/b.Window.Seconds()
	return l.Rate + min(added, b.Overage*l.Rate)
}

const (
	// askTimeout is how long the keeper may take to answer. A round trip takes 0.4 ms to
	// 2.8 ms.
	askTimeout = 80 * time.Millisecond
	// deputyTimeout covers the time in which the deputy asks the keeper.
	deputyTimeout = 120 * time.Millisecond
	// checkTimeout covers the time in which the asked VM pings another one.
	checkTimeout = 200 * time.Millisecond
	// avoidTime is how long a VM that did not answer is not asked.
	avoidTime = time.Second
	// shareTime is how long a VM counts on its share of the granted tokens.
	shareTime = 8 * time.Second
	// creditTime is the validity of credit, counted from when it was asked for.
	creditTime = 2 * time.Second
	// returnTime is the validity of a returned token.
	returnTime = 100 * time.Millisecond
	// contactDelay is the length of contact from which a domain counts.
	contactDelay = 600 * time.Millisecond
	// contactTimeout is the time without a message after which contact has ended. It is
	// shorter than takeOverDelay, so that the keeper stops before a deputy starts.
	contactTimeout = time.Second
	// takeOverDelay is how long a deputy must have failed to reach the keeper.
	takeOverDelay = 1300 * time.Millisecond
	// pingDelay is the time without a message after which a keeper pings a domain, and the
	// interval at which a deputy probes the keeper.
	pingDelay = 350 * time.Millisecond
	// listDelay is how long the lists must have named a VM as keeper before it grants.
	listDelay = 3 * time.Second
	// firstListDelay is how long after its first list a VM does not draw on the reserve: if
	// all VMs start together, the first list has only some of them.
	firstListDelay = 500 * time.Millisecond
	// claimTime is how long after a change of the list a keeper sends claims.
	claimTime = time.Minute
	// claimInterval is the time between two claims. One may be lost within yieldTime.
	claimInterval = 900 * time.Millisecond
	// yieldTime is how long a VM does not grant after the claim of a VM of higher rank.
	yieldTime = 2 * time.Second
	// keeperIdle is the time without asks after which a keeper no longer keeps contact.
	keeperIdle = 10 * time.Minute
	// deputyIdle is the time without asks after which a deputy no longer probes.
	deputyIdle = 10 * time.Second
	// tickInterval is the interval of Tick while there is work.
	tickInterval = 175 * time.Millisecond
	// maxRetryAfter bounds the delay that a caller is told.
	maxRetryAfter = 5 * time.Second
	// notGrantingRetry is the delay that a caller is told while no VM grants.
	notGrantingRetry = 500 * time.Millisecond
	// maxCredit bounds the credit that a VM asks for at once.
	maxCredit = 16
	// maxWorkspaces bounds the workspaces for which state is kept.
	maxWorkspaces = 8192
	// witnesses is the number of VMs that a deputy asks in each interval whether they reach
	// the keeper.
	witnesses = 3
)
