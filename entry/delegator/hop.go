package delegator

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/router"
)

// Headers between entry VMs. Those of a request are removed before it is sent to a target.
const (
	headerVM          = "Jackdawcart-Vm"
	headerVersion     = "Jackdawcart-Version"
	headerElapsedMs   = "Jackdawcart-Elapsed-Ms"
	headerUnavailable = "Jackdawcart-Unavailable"
	headerStoppingMs  = "Jackdawcart-Stopping-Ms"
	// headerKeyDigest holds the digest of the caller's key, in hexadecimal digits.
	headerKeyDigest = "Jackdawcart-Key-Digest"
)

// Hop is what a VM says of a request that it passes on.
type Hop struct {
	// VM is the name of the VM that passes the request on.
	VM string
	// MinVersion is the oldest configuration by which the request may be served.
	MinVersion int64
	// Elapsed is how long ago the request arrived at that VM.
	Elapsed time.Duration
	// Key is the digest of the caller's key, if there is one. The VM that takes the request
	// authorizes it by its own configuration.
	Key container.Option[router.KeyDigest]
}

func (h Hop) header() http.Header {
	header := http.Header{
		headerVM:        {h.VM},
		headerVersion:   {strconv.FormatInt(h.MinVersion, 10)},
		headerElapsedMs: {strconv.FormatInt(h.Elapsed.Milliseconds(), 10)},
	}
	if key, ok := h.Key.Get(); ok {
		header.Set(headerKeyDigest, hex.EncodeToString(key[:]))
	}
	return header
}

// TakeHop removes the headers of the hop from a request and returns them. Values that
// cannot be read count as zero.
func TakeHop(header http.Header) Hop {
	hop := Hop{VM: header.Get(headerVM), MinVersion: takeVersion(header)}
	if elapsed, err := strconv.ParseInt(header.Get(headerElapsedMs), 10, 64); err == nil && elapsed > 0 {
		hop.Elapsed = time.Duration(elapsed) * time.Millisecond
	}
	var key router.KeyDigest
	if digest, err := hex.DecodeString(header.Get(headerKeyDigest)); err == nil && copy(key[:], digest) == len(key) {
		hop.Key = container.Some(key)
	}
	RemoveHop(header)
	return hop
}

// RemoveHop removes the headers of a hop, which a caller has no reason to send.
func RemoveHop(header http.Header) {
	for _, name := range []string{headerVM, headerVersion, headerElapsedMs, headerUnavailable, headerStoppingMs, headerKeyDigest} {
		header.Del(name)
	}
}

// takeVersion removes the version of a configuration from a header and returns it.
func takeVersion(header http.Header) int64 {
	version, err := strconv.ParseInt(header.Get(headerVersion), 10, 64)
	header.Del(headerVersion)
	if err != nil {
		return 0
	}
	return version
}

// SetVersion states by which configuration a request is served.
func SetVersion(header http.Header, version int64) {
	header.Set(headerVersion, strconv.FormatInt(version, 10))
}

// Reasons why a VM does not serve a request itself.
const (
	ReasonCutOff = "cut off from all targets"
	// ReasonUnreachable concerns the targets of one request only.
	ReasonUnreachable        = "targets unreachable"
	ReasonOlderConfiguration = "older configuration"
	// ReasonStopping means that the VM ends before it could answer the request.
	ReasonStopping = "stopping"
)

// SetUnavailable states that this VM cannot take a request, and why. It has not run it.
func SetUnavailable(header http.Header, reason string) { header.Set(headerUnavailable, reason) }

// SetStopping states that this VM stops, and how long it still runs at most. Connections to
// it end, so other VMs must not send more requests meanwhile.
func SetStopping(header http.Header, left time.Duration) {
	header.Set(headerStoppingMs, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
}

// maxStopTime bounds the time for which a VM that stops is avoided.
const maxStopTime = time.Minute

// takeStopping removes from the header of an answer how long its VM still runs, and returns
// it, 0 if it doesn't stop.
func takeStopping(header http.Header) time.Duration {
	left, err := strconv.ParseInt(header.Get(headerStoppingMs), 10, 64)
	header.Del(headerStoppingMs)
	if err != nil || left < 0 {
		return 0
	}
	return min(time.Duration(left)*time.Millisecond, maxStopTime)
}
