package parser_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"jackdawcart.org/core/parser"
)

// BenchmarkParse parses a document with as many targets as a failure domain of
// design size has. Every node does this for each change of such a service.
func BenchmarkParse(b *testing.B) {
	const targets = 1556
	doc := mustParse(b, valid)
	for i := range targets {
		doc.Sets[0].Targets = append(doc.Sets[0].Targets, parser.Target{
			Name: fmt.Sprintf("t-%d", i), FailureDomain: "rosario", Slots: 2, Connections: 25,
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			ConnectTime: parser.Duration(6 * time.Millisecond),
		})
	}
	text, err := doc.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := parser.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}
