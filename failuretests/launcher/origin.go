package launcher

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// originOf returns the process of this deployment that opened a connection,
// found by the inode of its socket.
func (c *Cluster) originOf(client netip.AddrPort) (*Process, bool) {
	inode, ok := inodeOf(client)
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	started := append([]*Process{}, c.started...)
	c.mu.Unlock()
	for _, p := range started {
		if !p.Exited() && p.hasSocket(inode) {
			return p, true
		}
	}
	return nil, false
}

// Columns of /proc/net/tcp.
const (
	columnLocal = 1
	columnInode = 9
)

// sockets is a recent copy of the kernel's table, which is slow to read on a
// machine with many connections.
var sockets struct {
	sync.Mutex
	read   time.Time
	inodes map[string]string
}

// socketsAge is how long the copy is used, so that a port that is used again
// is not taken for its former user.
const socketsAge = time.Second

func inodeOf(client netip.AddrPort) (string, bool) {
	ip := client.Addr().Unmap().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), client.Port())
	sockets.Lock()
	defer sockets.Unlock()
	inode, ok := sockets.inodes[local]
	if !ok || time.Since(sockets.read) > socketsAge {
		readSockets()
		inode, ok = sockets.inodes[local]
	}
	return inode, ok
}

func readSockets() {
	sockets.read, sockets.inodes = time.Now(), make(map[string]string)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return
	}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > columnInode && columns[columnInode] != "0" {
			sockets.inodes[columns[columnLocal]] = columns[columnInode]
		}
	}
}

func (p *Process) hasSocket(inode string) bool {
	directory := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if link, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
