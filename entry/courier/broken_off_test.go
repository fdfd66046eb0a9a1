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

// A target that stopped within the head or the body of its answer must not make that count
// as a whole answer, wherever it stops, and whether it closes or resets the connection.
func TestAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\n", "record-000000001"
	answers := map[string]string{
		"length":         head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":         head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"bare line feed": fmt.Sprintf("HTTP/1.1 200 OK\nRequest-Id: r\nServer-Stamp: s\nContent-Length: %d\n\n%s", len(body), body),
		"empty":          head + "Content-Length: 0\r\n\r\n",
		"failure":        fmt.Sprintf("HTTP/1.1 500 Oops\r\nRequest-Id: r\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			for n := range len(text) {
				for _, reset := range []bool{false, true} {
					target := newTarget(t, func(c net.Conn, r *bufio.Reader) {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						_, _ = io.WriteString(c, text[:n])
						if tcp, ok := c.(*net.TCPConn); ok && reset {
							// Without lingering, closing resets the connection.
							_ = tcp.SetLinger(0)
						}
					})
					reply := send(t, pool(t, target.address, 1), newRequest("r", 2*time.Second))
					if reply.Err == nil || reply.Result == placer.Answered || reply.Status != 0 {
						t.Fatalf("after %d of %d bytes, reset %t: status %d, result %v, error %v", n, len(text), reset, reply.Status, reply.Result, reply.Err)
					}
				}
			}
		})
	}
}
