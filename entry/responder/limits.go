package responder

import (
	"errors"
	"net/http"
	"os"
	"time"
)

// headBytes returns the size of the request line and the headers of a request.
func headBytes(request *http.Request) int {
	const separators = len(": ") + len("\r\n")
	n := len(request.Method) + len(request.RequestURI) + len(request.Proto) + separators
	if request.Host != "" {
		n += len("Host") + len(request.Host) + separators
	}
	for name, values := range request.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// defaultMaxBodyBytes applies if the configuration has no limit.
const defaultMaxBodyBytes = 1 << 20

// readBody reads the body of a request. It ends at the deadline, so that a caller that
// stops sending doesn't hold its connection and memory for longer.
func readBody(w http.ResponseWriter, request *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if request.Body == nil || request.ContentLength == 0 {
		return nil, nil
	}
	// Setting a deadline fails for a writer without a connection, as in tests.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := readAll(http.MaxBytesReader(w, request.Body, limit), request.ContentLength, MemoryOf(request.Context()))
	if err != nil {
		// The deadline stays, because the server reads on to the end of the body.
		return nil, err
	}
	_ = connection.SetReadDeadline(time.Time{})
	return body, nil
}

func (r *Responder) refuseBody(w http.ResponseWriter, request *http.Request, arrived time.Time, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		r.refuse(w, request, arrived, http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.Is(err, ErrNoMemory):
		w.Header().Set("Connection", "close")
		r.refuse(w, request, arrived, http.StatusServiceUnavailable, "no memory", noMemoryRetry)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		r.refuse(w, request, arrived, http.StatusRequestTimeout, "body too slow", 0)
	default:
		r.refuse(w, request, arrived, http.StatusBadRequest, "body ended early", 0)
	}
}

// noMemoryRetry is the retry delay given to callers while there is no memory for a body.
const noMemoryRetry = time.Second
