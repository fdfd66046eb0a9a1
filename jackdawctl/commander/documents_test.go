package commander_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"jackdawcart.org/jackdawctl/commander"
)

// A document must be created, edited, rolled back and deleted, each time with the
// expected revisions and output.
func TestDocumentLifecycle(t *testing.T) {
	s := newSession(t)
	s.run(commander.ExitNotFound, "show", "agenda-01")
	s.run(commander.ExitOK, "apply", "--revision", "0", s.file(document("100ms")))
	shown, _ := s.run(commander.ExitOK, "show", "agenda-01")
	wantText(t, shown, "// jackdawctl: agenda-01 at revision 1", "// The registry", `"edit": "marta/`)

	edited := s.file(strings.Replace(shown, `"100ms"`, `"200ms"`, 1))
	out, _ := s.run(commander.ExitDifferent, "diff", edited)
	wantText(t, out, `~ answering.deadline: "100ms" -> "200ms"`)
	s.run(commander.ExitOK, "apply", edited)
	if strings.Contains(s.platform.entries["services/agenda-01"].Value, "at revision") {
		t.Error("the revision header was stored")
	}
	out, _ = s.run(commander.ExitOK, "apply", "--yes", s.file(document("200ms")))
	wantText(t, out, "unchanged")

	out, _ = s.run(commander.ExitOK, "history", "agenda-01")
	wantText(t, out, "current", "replaced", "marta/")
	s.run(commander.ExitOK, "roll-back", "--to", "1", "--yes", "agenda-01")
	out, _ = s.run(commander.ExitOK, "--output", "json", "show", "agenda-01")
	wantText(t, out, `\"100ms\"`)
	s.run(commander.ExitOK, "delete", "--yes", "agenda-01")
	out, _ = s.run(commander.ExitOK, "show")
	wantText(t, out, "agenda-01", "deleted")
	s.run(commander.ExitNotFound, "roll-back", "--to", "99", "agenda-01")
}

// An edit of an older revision must not overwrite the newer one, and the output
// must show the changes in between.
func TestApplyConflict(t *testing.T) {
	s := newSession(t)
	s.run(commander.ExitOK, "apply", "--yes", s.file(document("100ms")))
	s.run(commander.ExitOK, "apply", "--yes", s.file(document("200ms")))
	_, errs := s.run(commander.ExitConflict, "apply", "--revision", "1", s.file(document("300ms")))
	wantText(t, errs, "nothing was written", `~ answering.deadline: "100ms" -> "200ms"`)
	wantText(t, s.platform.entries["services/agenda-01"].Value, "200ms")
	_, errs = s.run(commander.ExitConflict, "--output", "json", "apply", "--revision", "1", s.file(document("300ms")))
	wantText(t, errs, `"exit-code":4`, `"old":"100ms","new":"200ms"`)
	_, errs = s.run(commander.ExitConflict, "apply", "--revision", "99", s.file(document("300ms")))
	wantText(t, errs, "not in the history")
}

// Without a base revision, nothing may be written unless the operator confirms.
func TestApplyNeedsConfirmation(t *testing.T) {
	s := newSession(t)
	path := s.file(document("100ms"))
	s.run(commander.ExitDeclined, "apply", path)
	s.in = "n\n"
	s.run(commander.ExitDeclined, "apply", path)
	if s.platform.revision != 0 {
		t.Fatal("a declined edit was written")
	}
	s.in = "y\n"
	_, errs := s.run(commander.ExitOK, "apply", path)
	wantText(t, errs, `+ service: "agenda-01"`)
}

// A lost answer must be reported as success when the edit took effect, and an
// unreachable store as not run.
func TestApplyFaults(t *testing.T) {
	s := newSession(t)
	s.platform.dropAnswers = true
	s.run(commander.ExitOK, "apply", "--yes", s.file(document("100ms")))
	s.run(commander.ExitOK, "apply", "--yes", s.file(document("200ms")))
	wantText(t, s.platform.entries["services/agenda-01"].Value, "200ms")

	closed := httptest.NewServer(nil)
	s.address = closed.Listener.Addr().String()
	closed.Close()
	s.run(commander.ExitNotRun, "apply", "--yes", s.file(document("300ms")))
}

// A mistake must be reported with file, line and field before anything is written.
func TestMistakes(t *testing.T) {
	s := newSession(t)
	good, bad := s.file(document("100ms")), s.file(document("11s"))
	out, _ := s.run(commander.ExitInvalid, "validate", good, bad)
	wantText(t, out, bad+":6: answering.deadline: ")
	out, _ = s.run(commander.ExitInvalid, "--output", "json", "validate", bad)
	wantText(t, out, `"line": 6`, `"field": "answering.deadline"`)
	_, errs := s.run(commander.ExitInvalid, "apply", "--yes", good, bad)
	wantText(t, errs, bad+":6: answering.deadline: ")
	if s.platform.revision != 0 {
		t.Error("a document was written although another one has mistakes")
	}
}

// A wrong command line must have its own exit code, so that scripts can tell it
// from other failures.
func TestUsage(t *testing.T) {
	s := newSession(t)
	for _, line := range []string{
		"shwo", "show ../secret", "apply", "diff", "roll-back agenda-01", "history", "delete a b", "apply --revision x f",
		"--output yaml show", "validate --settings store f", "nodes", "--node localhost nodes", "--platform x show", "show --colour",
	} {
		s.run(commander.ExitUsage, strings.Fields(line)...)
	}
	out, _ := s.run(commander.ExitOK, "--version")
	wantText(t, out, "jackdawctl version")
	out, _ = s.run(commander.ExitOK, "completion", "bash")
	wantText(t, out, "jackdawctl")
}
