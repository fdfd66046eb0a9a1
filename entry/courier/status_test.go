package courier_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jackdawcart.org/core/placer"
)

// A status from 000 to 199 counted as informational, so that the request waited for its
// deadline, and one above 599 was passed on to the caller. All of them, and a switch of
// protocols that was not asked for, must end the request at once, without a status.
func TestMalformedStatus(t *testing.T) {
	const timeout = 4 * time.Second
	for _, status := range []string{"000", "001", "099", "-12", "+20", "101", "600", "999", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 %s X\r\nRequest-Id: a\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n", status)
				// The connection stays open.
				_, _ = io.Copy(io.Discard, r)
			})
			began := time.Now()
			reply := send(t, pool(t, tgt.address, 1), newRequest("a", timeout))
			if reply.Result != placer.Failed || reply.Err == nil || reply.Status != 0 {
				t.Errorf("result %v, status %d, error %v, want a malformed answer", reply.Result, reply.Status, reply.Err)
			}
			if took := time.Since(began); took > timeout/2 {
				t.Errorf("took %v of a deadline of %v", took, timeout)
			}
		})
	}
}

// Informational answers must be skipped, whichever they are.
func TestInformationalStatus(t *testing.T) {
	for _, status := range []int{100, 102, 103, 199} {
		tgt := newTarget(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\n\r\n", status)
			answer(c, "a", "x")
		})
		check(t, fmt.Sprint("result after ", status), send(t, pool(t, tgt.address, 1), newRequest("a", time.Second)).Result, placer.Answered)
	}
}
