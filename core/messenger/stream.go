package messenger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"

	"jackdawcart.org/core/buffer"
	"jackdawcart.org/core/messenger/peerpb"
)

const (
	// MaxFrameSize is the largest frame accepted from a peer, in bytes. It exceeds
	// the largest value of the platform's store, so that any document fits.
	MaxFrameSize = 2 << 20
	// sendRingSize is the capacity of a stream's send queue, in frames.
	sendRingSize = 1024
	ioBufferSize = 4 << 10
)

// Stream is a bidirectional, ordered stream of frames.
type Stream struct {
	conn      net.Conn
	reader    *bufio.Reader
	outgoing  *buffer.Ring[*peerpb.Frame]
	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
}

func newStream(conn net.Conn) *Stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Stream{
		conn:     conn,
		reader:   bufio.NewReaderSize(conn, ioBufferSize),
		outgoing: buffer.NewRing[*peerpb.Frame](sendRingSize),
		ctx:      ctx,
		cancel:   cancel,
	}
	go s.writeLoop()
	return s
}

// Send queues a frame without blocking. An error of KindFull or KindClosed means
// that the frame was not queued.
func (s *Stream) Send(frame *peerpb.Frame) error {
	if s.ctx.Err() != nil {
		return &Error{Op: "send", Kind: KindClosed}
	}
	if !s.outgoing.Put(frame) {
		return &Error{Op: "send", Kind: KindFull}
	}
	return nil
}

// Receive waits for the next frame. It must not be called concurrently.
func (s *Stream) Receive() (*peerpb.Frame, error) {
	return readFrame(s.reader)
}

// Done returns a channel that is closed when the stream ends.
func (s *Stream) Done() <-chan struct{} { return s.ctx.Done() }

// Close closes the stream. Frames that are still queued may be lost.
func (s *Stream) Close() error {
	var err error
	s.closeOnce.Do(func() {
		s.cancel()
		err = s.conn.Close()
	})
	return err
}

// writeLoop sends queued frames and flushes when the queue is empty, so that
// frames of concurrent queries share one write.
func (s *Stream) writeLoop() {
	defer s.Close()
	writer := bufio.NewWriterSize(s.conn, ioBufferSize)
	for {
		frame, ok := s.outgoing.Take(s.ctx)
		if !ok {
			return
		}
		for ok {
			if err := writeFrame(writer, frame); err != nil {
				return
			}
			frame, ok = s.outgoing.TryTake()
		}
		if err := writer.Flush(); err != nil {
			return
		}
	}
}

func writeFrame(w io.Writer, frame *peerpb.Frame) error {
	_, err := protodelim.MarshalTo(w, frame)
	return err
}

func readFrame(r protodelim.Reader) (*peerpb.Frame, error) {
	frame := &peerpb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameSize}
	err := options.UnmarshalFrom(r, frame)
	if err == nil {
		return frame, nil
	}
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return nil, &Error{Op: "receive", Kind: KindClosed, Err: err}
	}
	return nil, &Error{Op: "receive", Kind: KindMalformed, Err: err}
}

// byteReader reads single bytes without buffering, so that no bytes after the
// frame are consumed from the connection.
type byteReader struct {
	io.Reader
}

// ReadByte reads one byte.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
