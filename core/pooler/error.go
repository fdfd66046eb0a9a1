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
	// KindLost means that a connection broke while a request was in flight.
	KindLost Kind = "lost"
	// KindSilent means that a connection stopped answering while others did.
	KindSilent Kind = "silent"
	// KindCancelled means that the request was cancelled.
	KindCancelled Kind = "cancelled"
	// KindCrossed means that the answer belongs to another request.
	KindCrossed Kind = "crossed"
	// KindDeadline means that the deadline passed before the request was sent.
	KindDeadline Kind = "deadline"
	// KindSnapshotGone means that the target no longer has the snapshot.
	KindSnapshotGone Kind = "snapshot-gone"
	// KindShed means that the target refused the request due to overload.
	KindShed Kind = "shed"
	// KindDraining means that the target accepts no new work.
	KindDraining Kind = "draining"
	// KindTarget means that the target failed to process the request.
	KindTarget Kind = "target"
	// KindMalformed means that a message could not be encoded or decoded, or that
	// a response body was too large.
	KindMalformed Kind = "malformed"
)

// Error is the error type returned by this package.
type Error struct {
	Op      string
	Kind    Kind
	Outcome peerpb.Outcome
	Err     error
}

// Error returns the message, prefixed with the package and operation.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("pooler: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("pooler: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the underlying error, if any.
func (e *Error) Unwrap() error { return e.Err }

// Failure maps the error to the failure kind used between processes.
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

// targetError converts an error response of a target.
func targetError(status int, body []byte) *Error {
	var refusal struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	// An undecodable body leaves the code empty, which counts as a failure of the
	// target.
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
