package main

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

const (
	killSignal = syscall.SIGKILL
	termSignal = syscall.SIGTERM
)

// cores is a set of processor cores.
type cores [16]uint64

func affinity(call uintptr, set *cores) error {
	if _, _, err := syscall.RawSyscall(call, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set))); err != 0 {
		return err
	}
	return nil
}

// startOnOneCore starts a command whose process sees and uses one core only: a child inherits
// the cores of the thread that starts it.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all cores
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}
	one := lastOf(all)
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return err
	}
	started := command.Start()
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &all); err != nil {
		return err
	}
	return started
}

// lastOf returns the last core of a set.
func lastOf(all cores) cores {
	var one cores
	for i := len(all) - 1; i >= 0; i-- {
		for bit := 63; bit >= 0; bit-- {
			if all[i]&(1<<bit) != 0 {
				one[i] = 1 << bit
				return one
			}
		}
	}
	return one
}
