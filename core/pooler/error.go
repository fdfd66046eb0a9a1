package pooler

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"jackdawcart.org/core/messenger/peerpb"
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no connection could be opened.
	KindUnreachable Kind = "unreachable"
	// KindLost means that a connection broke while a request was under way.
	KindLost Kind = "lost"
	// KindSilent means that a connection stopped answering while others did.
	KindSilent Kind = "silent"
	// KindCancelled means that the request was given up.
	KindCancelled Kind = "cancelled"
	// KindCrossed means that the answer belongs to another request.
	KindCrossed Kind = "crossed"
	// KindDeadline means that the deadline passed before the request was sent.
	KindDeadline Kind = "deadline"
	// KindSnapshotGone means that the target no longer has the snapshot.
	KindSnapshotGone Kind = "snapshot-gone"
	// KindShed means that the target refused the request because of load.
	KindShed Kind = "shed"
	// KindDraining means that the target takes no new work.
	KindDraining Kind = "draining"
	// KindTarget means that the target failed the request.
	KindTarget Kind = "target"
	// KindMalformed means that something unreadable was sent or received.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	Op      string
	Kind    Kind
	Outcome peerpb.Outcome
	Err     error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("pooler: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("pooler: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Failure returns the error's kind in messages between processes.
func (e *Error) Failure() peerpb.FailureKind {
	switch e.Kind {
	case KindUnreachable:
		return peerpb.FailureKind_FAILURE_UNREACHABLE
	case KindLost:
		return peerpb.FailureKind_FAILURE_LOST
	case KindSilent:
		return peerpb.FailureKind_FAILURE_SILENT
	case KindCancelled:
		return peerpb.FailureKind_FAILURE_CANCELLED
	case KindCrossed, KindMalformed:
		return peerpb.FailureKind_FAILURE_MISMATCH
	case KindDeadline:
		return peerpb.FailureKind_FAILURE_DEADLINE
	case KindSnapshotGone:
		return peerpb.FailureKind_FAILURE_SNAPSHOT_GONE
	case KindShed:
		return peerpb.FailureKind_FAILURE_OVERLOADED
	case KindDraining:
		return peerpb.FailureKind_FAILURE_DRAINING
	default:
		return peerpb.FailureKind_FAILURE_TARGET
	}
}

func connectionError(err error) *Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{Op: "connect", Kind: KindUnreachable, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Err: err}
	}
	return &Error{Op: "receive", Kind: KindLost, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Err: err}
}

// targetError reads a target's refusal or failure.
func targetError(status int, body []byte) *Error {
	var refusal struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	// A body that cannot be read leaves the code empty, which counts as a failure.
	_ = json.Unmarshal(body, &refusal)
	e := &Error{Op: "target", Kind: KindTarget, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Err: errors.New(http.StatusText(status) + ": " + refusal.Message)}
	switch {
	case status == http.StatusConflict && refusal.Code == "snapshot-gone":
		e.Kind, e.Outcome = KindSnapshotGone, peerpb.Outcome_OUTCOME_NOT_RUN
	case status == http.StatusServiceUnavailable && refusal.Code == "shed":
		e.Kind, e.Outcome = KindShed, peerpb.Outcome_OUTCOME_NOT_RUN
	case status == http.StatusServiceUnavailable && refusal.Code == "draining":
		e.Kind, e.Outcome = KindDraining, peerpb.Outcome_OUTCOME_NOT_RUN
	case status == http.StatusGatewayTimeout:
		e.Kind, e.Outcome = KindDeadline, peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return e
}
