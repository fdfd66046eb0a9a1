package granter

import "time"

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	// AskKeeper asks the keeper of a workspace for tokens.
	AskKeeper Kind = iota + 1
	// AskDeputy asks the deputy of a domain for tokens.
	AskDeputy
	// Ping asks whether a VM can be reached.
	Ping
	// Check asks a VM whether it reaches the VM Target.
	Check
	// Claim tells a VM that the sender is the keeper of a workspace.
	Claim
)

// Request is a message from one VM to another.
type Request struct {
	Kind      Kind
	From      Member
	Workspace Workspace
	// Wanted is the number of tokens for requests that wait, Extra the credit wanted, and
	// Held the credit that the sender still has.
	Wanted, Extra, Held int
	// Returning is set if the request that waits was probably refused before.
	Returning bool
	// Target is the VM that a Check is about.
	Target string
}

// Status is the outcome of a request.
type Status int

// Outcomes of requests.
const (
	// Granted means that the wanted tokens have been granted.
	Granted Status = iota + 1
	// Denied means that there are no tokens for the time RetryAfter.
	Denied
	// NotGranting means that the VM does not decide on the workspace now.
	NotGranting
	// Alive is the answer to a Ping or Claim, and to a Check if the target is reached.
	Alive
	// Unreached means that the asked VM does not reach the target.
	Unreached
)

// Answer is the answer to a request.
type Answer struct {
	Status Status
	// Credit is granted in addition to the wanted tokens.
	Credit int
	// RetryAfter is the time until there is a token, and Spread the time in which the requests
	// that were denied lately could get theirs.
	RetryAfter, Spread time.Duration
	// Share is the part of the granted tokens that the asking VM got lately.
	Share float64
}

// Send is a request to be sent to another VM. Its answer is passed to Answered or Failed.
type Send struct {
	To      string
	Timeout time.Duration
	SentAt  time.Time
	Request Request
}

// Source says where the decision on a request of a caller comes from.
type Source string

// Sources of decisions.
const (
	SourceCredit Source = "credit"
	SourceKeeper Source = "keeper"
	SourceDeputy Source = "deputy"
	// SourceReserve is used while the VM reaches no VM that grants.
	SourceReserve Source = "reserve"
	// SourceDenial is a denial that the VM remembers.
	SourceDenial Source = "denial"
	// SourceUnlimited means that there is no quota.
	SourceUnlimited Source = "unlimited"
)

// Step is the next step of a decision: Send if that is set, or the decision.
type Step struct {
	Send       *Send
	Admitted   bool
	RetryAfter time.Duration
	Source     Source
}
