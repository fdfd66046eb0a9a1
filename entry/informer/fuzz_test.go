package informer_test

import (
	"context"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"jackdawcart.org/core/placer"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/sequencer"
	"jackdawcart.org/core/sharer"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/entry/informer"
	"jackdawcart.org/entry/informer/informerpb"
)

// answerWith polls a VM that answers with the given bytes, and returns the evidence of the
// answer and the kinds of what was rejected.
func answerWith(t *testing.T, answer []byte) (evidence []placer.Evidence, rejected []string) {
	t.Helper()
	timers := timer.NewService()
	defer timers.Close()
	config := informer.DefaultConfig()
	config.Wait, config.AnswerMargin = 10*time.Millisecond, 50*time.Millisecond
	config.Rejected = func(kind string) { rejected = append(rejected, kind) }
	peer := func(context.Context, netip.AddrPort) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer there.Close()
			var request informerpb.Request
			if protodelim.UnmarshalFrom(newByteReader(there), &request) == nil {
				// The client may have closed the connection.
				_, _ = there.Write(answer)
			}
		}()
		return here, nil
	}
	seen := &tracker{}
	self := registrar.Member{Name: "vm-2", Domain: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	other := registrar.Member{Name: "vm-1", Domain: "a", Address: self.Address}
	if len(informer.Upstreams(self, []registrar.Member{self, other})) == 0 {
		self, other = other, self
	}
	client := informer.NewClient(config, self, peer, &eras{}, seen, sharer.NewGroup(sharer.DefaultConfig()), &reports{}, timers, func(string) {}, zap.NewNop())
	defer client.Close()
	client.SetMembers([]registrar.Member{self, other})
	client.Watch(t.Context(), sequencer.Position{Revision: 1})
	return seen.all(), rejected
}

type byteReader struct{ net.Conn }

func newByteReader(c net.Conn) byteReader { return byteReader{c} }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}

// Answers of any bytes must leave the process as it was, and only valid evidence may be used.
func FuzzAnswer(f *testing.F) {
	f.Fuzz(func(t *testing.T, answer []byte) {
		evidence, _ := answerWith(t, answer)
		for _, e := range evidence {
			if e.Target == "" || e.Service == "" || !(e.Latency >= 0) || math.IsInf(e.Latency, 0) || !(e.Limit.PerSecond >= 0) {
				t.Errorf("evidence %+v of %q", e, answer)
			}
		}
	})
}

// Evidence without a target, or with numbers that no target has, was merged into the estimates
// that decide where requests go.
func TestInvalidEvidence(t *testing.T) {
	nan := math.NaN()
	valid := &informerpb.Evidence{Service: "s", Target: "i-1", Answered: 1, Latency: 1}
	bytes := &buffer{}
	if _, err := protodelim.MarshalTo(bytes, &informerpb.Answer{Evidence: []*informerpb.Evidence{
		{Service: "s", Answered: 1},
		{Target: "i-1", Answered: 1},
		{Service: "s", Target: "i-1", Latency: float32(nan)},
		{Service: "s", Target: "i-1", Latency: -1},
		{Service: "s", Target: "i-1", Limit: &informerpb.Limit{PerSecond: &nan}},
		valid,
	}}); err != nil {
		t.Fatal(err)
	}
	evidence, rejected := answerWith(t, bytes.text)
	if len(evidence) != 1 || len(rejected) != 5 {
		t.Errorf("%d pieces of evidence used and %d rejected, want 1 and 5", len(evidence), len(rejected))
	}
}

type buffer struct{ text []byte }

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.text = append(b.text, p...)
	return len(p), nil
}
