package delegator

import (
	"net/http"
	"strconv"
	"time"
)

// Headers between entry VMs. Those of a request are removed before it is sent to a target.
const (
	headerVM          = "Jackdawcart-Vm"
	headerVersion     = "Jackdawcart-Version"
	headerElapsedMs   = "Jackdawcart-Elapsed-Ms"
	headerUnavailable = "Jackdawcart-Unavailable"
)

// Hop is what a VM says of a request that it passes on.
type Hop struct {
	// VM is the name of the VM that passes the request on.
	VM string
	// MinVersion is the oldest configuration by which the request may be served.
	MinVersion int64
	// Elapsed is how long ago the request arrived at that VM.
	Elapsed time.Duration
}

func (h Hop) header() http.Header {
	return http.Header{
		headerVM:        {h.VM},
		headerVersion:   {strconv.FormatInt(h.MinVersion, 10)},
		headerElapsedMs: {strconv.FormatInt(h.Elapsed.Milliseconds(), 10)},
	}
}

// TakeHop removes the headers of the hop from a request and returns them. Values that
// cannot be read count as zero.
func TakeHop(header http.Header) Hop {
	hop := Hop{VM: header.Get(headerVM), MinVersion: takeVersion(header)}
	if elapsed, err := strconv.ParseInt(header.Get(headerElapsedMs), 10, 64); err == nil && elapsed > 0 {
		hop.Elapsed = time.Duration(elapsed) * time.Millisecond
	}
	RemoveHop(header)
	return hop
}

// RemoveHop removes the headers of a hop, which a caller has no reason to send.
func RemoveHop(header http.Header) {
	for _, name := range []string{headerVM, headerVersion, headerElapsedMs, headerUnavailable} {
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
)

// SetUnavailable states that this VM cannot take a request, and why. It has not run it.
func SetUnavailable(header http.Header, reason string) { header.Set(headerUnavailable, reason) }
