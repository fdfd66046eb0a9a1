package quarantiner

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies equal requests: the xxhash of the service, the
// operation and the normalised body. It is never zero, which means no
// fingerprint in a frame.
func Fingerprint(service, operation, body string) uint64 {
	h := xxhash.New()
	var length [8]byte
	for _, part := range []string{service, operation, Normalise(body)} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// The digest's writes never fail.
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(part)
	}
	return max(h.Sum64(), 1)
}

// Normalise returns the body in lower case, with each run of white space as
// one space and none at the ends.
func Normalise(body string) string {
	return strings.Join(strings.Fields(strings.ToLower(body)), " ")
}
