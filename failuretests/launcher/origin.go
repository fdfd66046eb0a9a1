package launcher

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
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

func inodeOf(client netip.AddrPort) (string, bool) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	ip := client.Addr().Unmap().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), client.Port())
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > columnInode && columns[columnLocal] == local {
			return columns[columnInode], true
		}
	}
	return "", false
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
