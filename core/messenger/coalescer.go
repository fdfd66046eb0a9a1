package messenger

import "net"

const (
	// muxHeaderSize is the size in bytes of a yamux header: version, type,
	// flags, stream ID and length.
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// frameCoalescer writes the header and the body of a yamux data frame in a
// single call. yamux writes them separately, which would cost two TLS records
// and two system calls for each flush of a stream. It needs no lock because only
// yamux's send goroutine writes to it.
type frameCoalescer struct {
	net.Conn
	// buffered holds a header until its body is written, or is empty.
	buffered []byte
}

// Write buffers the header of a non-empty data frame until its body is written.
// All other writes are passed through.
func (c *frameCoalescer) Write(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		if isNonEmptyDataHeader(p) {
			c.buffered = append(c.buffered, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	c.buffered = append(c.buffered, p...)
	_, err := c.Conn.Write(c.buffered)
	c.buffered = c.buffered[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// isNonEmptyDataHeader reports whether p is the header of a data frame whose
// length is not zero.
func isNonEmptyDataHeader(p []byte) bool {
	return len(p) == muxHeaderSize && p[muxTypeOffset] == muxTypeData && [4]byte(p[muxLengthOffset:]) != [4]byte{}
}
