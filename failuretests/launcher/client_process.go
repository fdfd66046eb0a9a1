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

// clientProcess returns the process of this deployment that opened a connection
// from client to server. It searches the open files of each process for the inode
// of the socket.
func (c *Cluster) clientProcess(client, server netip.AddrPort) (*Process, bool) {
	inode, ok := SocketInode(client, server)
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
	localAddressColumn  = 1
	remoteAddressColumn = 2
	inodeColumn         = 9
)

// socketTable caches the kernel's TCP socket table by local and remote address,
// because reading the table is slow on a host with many connections.
var socketTable struct {
	sync.Mutex
	readAt time.Time
	inodes map[addressPair]string
}

// addressPair identifies a socket. Several sockets can share a local address if
// their remote addresses differ.
type addressPair struct{ local, remote string }

// socketTableMaxAge limits how long a cached entry is used, so that a reused
// port is not attributed to the process that held it before.
const socketTableMaxAge = time.Second

// SocketInode returns the inode of the socket at the client's end of a connection.
func SocketInode(client, server netip.AddrPort) (string, bool) {
	key := addressPair{tableAddress(client), tableAddress(server)}
	socketTable.Lock()
	defer socketTable.Unlock()
	inode, ok := socketTable.inodes[key]
	if !ok || time.Since(socketTable.readAt) > socketTableMaxAge {
		reloadSocketTable()
		inode, ok = socketTable.inodes[key]
	}
	return inode, ok
}

// tableAddress formats an IPv4 address as in /proc/net/tcp.
func tableAddress(address netip.AddrPort) string {
	ip := address.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), address.Port())
}

func reloadSocketTable() {
	socketTable.readAt, socketTable.inodes = time.Now(), make(map[addressPair]string)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return
	}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > inodeColumn && columns[inodeColumn] != "0" {
			socketTable.inodes[addressPair{columns[localAddressColumn], columns[remoteAddressColumn]}] = columns[inodeColumn]
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
