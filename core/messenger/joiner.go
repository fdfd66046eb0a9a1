package messenger

import "net"

const (
	// muxHeaderSize is the size of a yamux header: version, type, flags, stream
	// and length.
	muxHeaderSize = 12
	muxTypeAt     = 1
	muxLengthAt   = 8
	muxTypeData   = 0
)

// joiner writes the header and the body of a yamux data frame together. yamux
// writes them one after the other, which would cost two TLS records and two
// system calls for each flush of a stream. Only yamux's one sending goroutine
// writes to it.
type joiner struct {
	net.Conn
	// held is a header whose body follows with the next write.
	held []byte
}

// Write holds back the header of a frame with a body.
func (j *joiner) Write(p []byte) (int, error) {
	if len(j.held) == 0 {
		if startsBody(p) {
			j.held = append(j.held, p...)
			return len(p), nil
		}
		return j.Conn.Write(p)
	}
	j.held = append(j.held, p...)
	_, err := j.Conn.Write(j.held)
	j.held = j.held[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// startsBody reports whether p is the header of a data frame that is not empty.
func startsBody(p []byte) bool {
	return len(p) == muxHeaderSize && p[muxTypeAt] == muxTypeData && [4]byte(p[muxLengthAt:]) != [4]byte{}
}
