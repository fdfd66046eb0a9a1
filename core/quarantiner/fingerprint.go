package quarantiner

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the xxhash of the service, the operation and the
// normalised body, which is equal for equal requests. It is never zero: zero
// stands for "no fingerprint" in a frame.
func Fingerprint(service, operation, body string) uint64 {
	h := xxhash.New()
	var length [8]byte
	for _, part := range []string{service, operation, Normalise(body)} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to an xxhash digest never return an error.
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(part)
	}
	return max(h.Sum64(), 1)
}

// FormatFingerprint returns a fingerprint as it appears in logs and views.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// Normalise returns the body in lower case, with each run of white space
// replaced by one space and white space at both ends removed.
func Normalise(body string) string {
	return strings.Join(strings.Fields(strings.ToLower(body)), " ")
}
