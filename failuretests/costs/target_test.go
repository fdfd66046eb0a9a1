package costs_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
)

// target is a minimal HTTP target. It does not allocate per request, so that a
// benchmark counts only the allocations of the measured code.
type target struct {
	address netip.AddrPort
	status  []byte
	hits    []byte
}

func newTarget(tb testing.TB, shards []string, hits int) *target {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { listener.Close() })
	t := &target{
		address: netip.MustParseAddrPort(listener.Addr().String()),
		status:  statusBody(shards),
		hits:    hitsBody(hits),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return t
}

func statusBody(shards []string) []byte {
	var list, held []string
	for _, shard := range shards {
		list = append(list, fmt.Sprintf(`{"name":%q,"weight":1}`, shard))
		held = append(held, strconv.Quote(shard))
	}
	return fmt.Appendf(nil, `{"target":"t","state":"serving","in-flight":0,"slots":64,"snapshots":[{"id":"one","sequence":1,"shards":[%s],"held":[%s]}]}`,
		strings.Join(list, ","), strings.Join(held, ","))
}

func hitsBody(hits int) []byte {
	var list []string
	for i := range hits {
		list = append(list, fmt.Sprintf(`{"id":"certificate-%06d","score":%d.5,"title":"Lightning protection of school %d"}`, i, 100-i, i))
	}
	return fmt.Appendf(nil, `,"hits":[%s]}`, strings.Join(list, ","))
}

// serve answers status requests, and searches with the identity fields of the
// request body, which precede the text, and the fixed hits.
func (t *target) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 4096)
	body := make([]byte, 0, 4096)
	var out []byte
	for {
		isGet, length, err := readHead(reader)
		if err != nil || length > cap(body) {
			return
		}
		body = body[:length]
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		answer, tail := t.status, []byte(nil)
		if !isGet {
			end := max(bytes.Index(body, []byte(`,"text"`)), 0)
			answer, tail = body[:end], t.hits
		}
		out = append(out[:0], "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "...)
		out = strconv.AppendInt(out, int64(len(answer)+len(tail)), 10)
		out = append(append(append(out, "\r\n\r\n"...), answer...), tail...)
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

var lengthHeader = []byte("Content-Length: ")

// readHead reads the head of a request or response, including the empty line.
// It reports whether the method is GET, and the content length.
func readHead(reader *bufio.Reader) (isGet bool, length int, err error) {
	for first := true; ; first = false {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return false, 0, err
		}
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			return isGet, length, nil
		}
		if first {
			isGet = bytes.HasPrefix(line, []byte("GET"))
		}
		if value, ok := bytes.CutPrefix(line, lengthHeader); ok {
			for _, digit := range value {
				length = 10*length + int(digit-'0')
			}
		}
	}
}
