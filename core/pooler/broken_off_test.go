package pooler_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jackdawcart.org/core/pooler"
)

// A target that stopped within the head or the body of its answer must not make that count
// as an answer, wherever it stops, and whether it closes or resets the connection.
func TestAnswerThatBreaksOffIsAnError(t *testing.T) {
	const body = `{"query-id":"q","sub-id":"0.0","shard":"s","snapshot":"1","hits":[]}`
	answers := map[string]string{
		"length":         fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":         fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"bare line feed": fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(body), body),
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			for n := range len(text) {
				for _, reset := range []bool{false, true} {
					s := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							t.Error(err)
							return
						}
						defer conn.Close()
						_, _ = io.WriteString(conn, text[:n])
						if tcp, ok := conn.(*net.TCPConn); ok && reset {
							// Without lingering, closing resets the connection.
							_ = tcp.SetLinger(0)
						}
					})
					answer, err := s.pool(2).Search(t.Context(), time.Now().Add(2*time.Second), &pooler.Search{QueryID: "q", SubID: "0.0", Shard: "s", Snapshot: "1"})
					if err == nil {
						t.Fatalf("after %d of %d bytes, reset %t: answer %+v", n, len(text), reset, answer)
					}
				}
			}
		})
	}
}
