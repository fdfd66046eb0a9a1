package quarantiner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Run is a request at one part of the index.
type Run struct {
	// Fingerprint is equal for equal requests.
	Fingerprint uint64
	// Part names the service or shard whose target runs the request. It is empty in
	// reports of processes that don't state it: such a loss ends with a completed run
	// at any part, and such a completion clears all parts.
	Part string
}

// hash identifies the run in a map without keeping the name of its part.
func (r Run) hash() uint64 {
	var fingerprint [8]byte
	binary.BigEndian.PutUint64(fingerprint[:], r.Fingerprint)
	h := xxhash.New()
	// Writes to an xxhash digest never return an error.
	_, _ = h.Write(fingerprint[:])
	_, _ = h.WriteString(r.Part)
	return h.Sum64()
}

// covers reports whether a completed run at a part says that a loss at another, or the same,
// is not due to the request.
func covers(completed, lost string) bool {
	return completed == lost || completed == "" || lost == ""
}
