package pooler_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"jackdawcart.org/core/pooler"
)

// An answer with a status that the protocol does not have counted as a failure that the target
// reports, and after a switch of protocols, or without a length, its body was read until the
// deadline. It must count as malformed at once.
func TestMalformedStatus(t *testing.T) {
	const timeout = 2 * time.Second
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		for name, fields := range map[string]string{"length": "Content-Length: 0\r\n", "no length": "", "switch": "Connection: Upgrade\r\nUpgrade: x\r\n"} {
			t.Run(status+" "+name, func(t *testing.T) {
				s := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s\r\n", status, fields)
					// The connection stays open until the other end closes it.
					_ = conn.SetReadDeadline(time.Now().Add(2 * timeout))
					_, _ = io.Copy(io.Discard, conn)
				})
				began := time.Now()
				_, err := s.pool(2).Search(t.Context(), began.Add(timeout), &pooler.Search{QueryID: "q", SubID: "0.0"})
				var failure *pooler.Error
				if !errors.As(err, &failure) || failure.Kind != pooler.KindMalformed {
					t.Errorf("error %v, want a malformed answer", err)
				}
				if took := time.Since(began); took > timeout/2 {
					t.Errorf("took %v of a deadline of %v", took, timeout)
				}
			})
		}
	}
}
