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

// Process is one started program.
type Process struct {
	Name string

	command *exec.Cmd
	logPath string
	done    chan struct{}
}

// Start starts a program whose output goes to a log file in the directory.
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
	// The kernel ends the process with the test binary, which may be ended by
	// a timeout without running its cleanups.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("launcher: start: %w", err)
	}
	go func() {
		defer close(p.done)
		// The exit status is read from the process state.
		_ = p.command.Wait()
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process without notice and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait returns the exit status of a process that ends within the time.
func (p *Process) Wait(within time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, fmt.Errorf("launcher: wait: %s still runs after %s", p.Name, within)
	}
}

// Tail returns the last lines of the log.
func (p *Process) Tail(lines int) string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
