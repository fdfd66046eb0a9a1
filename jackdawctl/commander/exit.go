package commander

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/editor"
)

// Exit codes. Scripts rely on them, so that a code never changes its meaning.
const (
	ExitOK = 0
	// ExitFailure is any failure without a code of its own.
	ExitFailure = 1
	ExitUsage   = 2
	// ExitInvalid says that a document or a settings file has mistakes.
	ExitInvalid = 3
	// ExitConflict says that another edit came first and nothing was written.
	ExitConflict = 4
	// ExitNotRun says that the store could not be reached or refused the edit,
	// and that the document was not written.
	ExitNotRun = 5
	// ExitUnknown says that the edit may have taken effect.
	ExitUnknown = 6
	// ExitNotFound says that there is no such service or revision.
	ExitNotFound = 7
	// ExitDifferent says that the diff command found differences.
	ExitDifferent = 8
	// ExitPartial says that some nodes gave no answer.
	ExitPartial = 9
	// ExitUnreachable says that no node gave an answer.
	ExitUnreachable = 10
	// ExitDeclined says that the operator did not confirm an edit.
	ExitDeclined = 11
)

type exitCodeKey struct{}

// withCode gives an error the exit code of the program.
func withCode(err error, code int) error {
	return merry.Wrap(err, merry.WithValue(exitCodeKey{}, code), merry.NoCaptureStack())
}

func usage(format string, args ...any) error {
	return withCode(merry.Errorf(format, args...), ExitUsage)
}

// exitCode returns the exit code that an error stands for.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if code, ok := merry.Value(err, exitCodeKey{}).(int); ok {
		return code
	}
	var (
		conflict *editor.Conflict
		edit     *editor.Error
		document *parser.Error
		settings *loader.Error
	)
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &edit):
		return editCode(edit.Kind)
	case errors.As(err, &document):
		return ExitInvalid
	case errors.As(err, &settings) && settings.Kind == loader.KindInvalid:
		return ExitInvalid
	}
	return ExitFailure
}

func editCode(kind editor.Kind) int {
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
