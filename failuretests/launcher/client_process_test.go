package launcher_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/failuretests/launcher"
)

// inode returns the inode of a socket of this process.
func inode(t *testing.T, c net.Conn) string {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var link string
	err = raw.Control(func(fd uintptr) { link, err = os.Readlink(fmt.Sprintf("/proc/self/fd/%d", fd)) })
	if err != nil {
		t.Fatal(err)
	}
	var id string
	if _, err := fmt.Sscanf(link, "socket:[%s", &id); err != nil {
		t.Fatalf("file %q: %v", link, err)
	}
	return id[:len(id)-1]
}

// Two sockets that share a local address must not be mixed up. A connection across
// the partition was let through because its client was taken for a process that had
// a socket with the same local address.
func TestSocketsThatShareALocalAddress(t *testing.T) {
	reuse := func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		})
		if err != nil {
			return err
		}
		return failure
	}
	dialer := net.Dialer{Control: reuse}
	var want, got []string
	for range 2 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		conn, err := dialer.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		dialer.LocalAddr = conn.LocalAddr()
		id, ok := launcher.SocketInode(
			netip.MustParseAddrPort(conn.LocalAddr().String()), netip.MustParseAddrPort(listener.Addr().String()))
		if !ok {
			t.Fatalf("no socket with the local address %v", conn.LocalAddr())
		}
		want, got = append(want, inode(t, conn)), append(got, id)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("inodes (-want +got):\n%s", diff)
	}
}
