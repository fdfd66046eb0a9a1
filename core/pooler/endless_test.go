package pooler_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"jackdawcart.org/core/pooler"
)

// A target that sends bytes without end must not hold a request until its deadline,
// and must not take more memory than the limits of a head and a body.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		deadline     = 2 * time.Second
		maxSentBytes = 16 << 20
	)
	cases := []struct{ name, prefix, repeated string }{
		{"no HTTP", "", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body until the end", "HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"body of a large length", "HTTP/1.1 200 OK\r\nContent-Length: 8000000000\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan int, 1)
			s := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				text, total := strings.Repeat(c.repeated, 1+32<<10/len(c.repeated)), 0
				_, err = io.WriteString(conn, c.prefix)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, text)
					total += n
				}
				sent <- total
			})
			began := time.Now()
			_, err := s.pool(2).Search(t.Context(), began.Add(deadline), &pooler.Search{QueryID: "q", SubID: "0.0"})
			var failure *pooler.Error
			if !errors.As(err, &failure) || failure.Kind != pooler.KindMalformed && failure.Kind != pooler.KindLost {
				t.Errorf("error %v, want a malformed or lost answer", err)
			}
			if took := time.Since(began); took > deadline/2 {
				t.Errorf("request took %v, want at most half of the deadline of %v", took, deadline)
			}
			select {
			case total := <-sent:
				if total > maxSentBytes {
					t.Errorf("target could send %d bytes, want at most %d", total, maxSentBytes)
				}
			case <-time.After(deadline):
				t.Error("target can still send, want its connection closed")
			}
		})
	}
}
