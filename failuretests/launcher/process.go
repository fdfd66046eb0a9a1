package launcher

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Process is a running or exited program.
type Process struct {
	Name string

	command *exec.Cmd
	logPath string
	done    chan struct{}
}

// Start runs a program and appends its output to a log file in directory.
func Start(directory, name, path string, args ...string) (*Process, error) {
	logPath := directory + "/" + name + ".log"
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("launcher: start: %w", err)
	}
	defer func() { _ = output.Close() }()
	p := &Process{Name: name, logPath: logPath, done: make(chan struct{})}
	p.command = exec.Command(path, args...)
	p.command.Stdout, p.command.Stderr = output, output
	// The kernel kills the process when the test binary exits, which may be
	// due to a timeout that skips the cleanup functions.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("launcher: start: %w", err)
	}
	go func() {
		defer close(p.done)
		// Wait reads the exit status from the process state.
		_ = p.command.Wait()
	}()
	return p, nil
}

// Signal sends a signal to the process. It does nothing if the process has
// exited.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait returns the exit status of the process, or an error if it does not exit
// in time.
func (p *Process) Wait(within time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, fmt.Errorf("launcher: wait: %s is still running after %s", p.Name, within)
	}
}

// LogTail returns the last lines of the log, or the error of reading it.
func (p *Process) LogTail(lines int) string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
