package commander

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/editor"
)

// Exit codes. Scripts rely on them, so a code must never change its meaning.
const (
	ExitOK = 0
	// ExitFailure means a failure without a code of its own.
	ExitFailure = 1
	ExitUsage   = 2
	// ExitInvalid means that a document or a settings file has mistakes.
	ExitInvalid = 3
	// ExitConflict means that the store no longer has the base revision of the edit
	// and nothing was written.
	ExitConflict = 4
	// ExitNotRun means that the store was unreachable or refused the edit, and that
	// the document was not written.
	ExitNotRun = 5
	// ExitUnknown means that the edit may have taken effect.
	ExitUnknown = 6
	// ExitNotFound means that the service, revision, query or request does not exist.
	ExitNotFound = 7
	// ExitDifferent means that the diff command found differences.
	ExitDifferent = 8
	// ExitPartial means that some nodes gave no answer.
	ExitPartial = 9
	// ExitUnreachable means that no node gave an answer.
	ExitUnreachable = 10
	// ExitDeclined means that the operator did not confirm an edit.
	ExitDeclined = 11
)

type exitCodeKey struct{}

// withCode attaches an exit code to an error.
func withCode(err error, code int) error {
	return merry.Wrap(err, merry.WithValue(exitCodeKey{}, code), merry.NoCaptureStack())
}

func usageError(format string, args ...any) error {
	return withCode(merry.Errorf(format, args...), ExitUsage)
}

// exitCode returns the exit code for an error: the attached one, or else the one of
// its type.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if code, ok := merry.Value(err, exitCodeKey{}).(int); ok {
		return code
	}
	var (
		conflict    *editor.Conflict
		editErr     *editor.Error
		documentErr *parser.Error
		settingsErr *loader.Error
	)
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &editErr):
		return editExitCode(editErr.Kind)
	case errors.As(err, &documentErr):
		return ExitInvalid
	case errors.As(err, &settingsErr) && settingsErr.Kind == loader.KindInvalid:
		return ExitInvalid
	}
	return ExitFailure
}

func editExitCode(kind editor.Kind) int {
	switch kind {
	case editor.KindInvalid:
		return ExitInvalid
	case editor.KindNotFound:
		return ExitNotFound
	case editor.KindNotRun:
		return ExitNotRun
	case editor.KindUnknown:
		return ExitUnknown
	}
	return ExitFailure
}
