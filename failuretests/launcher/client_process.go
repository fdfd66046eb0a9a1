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

// clientProcess returns the process of this deployment that opened a connection.
// It searches the open files of each process for the inode of the socket.
func (c *Cluster) clientProcess(client netip.AddrPort) (*Process, bool) {
	inode, ok := socketInode(client)
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
	localAddressColumn = 1
	inodeColumn        = 9
)

// socketTable caches the kernel's TCP socket table by local address, because
// reading the table is slow on a host with many connections.
var socketTable struct {
	sync.Mutex
	readAt time.Time
	inodes map[string]string
}

// socketTableMaxAge limits how long a cached entry is used, so that a reused
// port is not attributed to the process that held it before.
const socketTableMaxAge = time.Second

func socketInode(client netip.AddrPort) (string, bool) {
	ip := client.Addr().Unmap().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), client.Port())
	socketTable.Lock()
	defer socketTable.Unlock()
	inode, ok := socketTable.inodes[local]
	if !ok || time.Since(socketTable.readAt) > socketTableMaxAge {
		reloadSocketTable()
		inode, ok = socketTable.inodes[local]
	}
	return inode, ok
}

func reloadSocketTable() {
	socketTable.readAt, socketTable.inodes = time.Now(), make(map[string]string)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return
	}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > inodeColumn && columns[inodeColumn] != "0" {
			socketTable.inodes[columns[localAddressColumn]] = columns[inodeColumn]
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
