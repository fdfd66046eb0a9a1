// Package viewer is a client of the admin HTTP interface of nodes.
package viewer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/container"
)

const (
	// maxAnswerBytes leaves room above the targets of a failure domain at design
	// size, which take about 1 MB.
	maxAnswerBytes        = 16 << 20
	maxConcurrentRequests = 32
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable"
	KindRefused     Kind = "refused"
	KindMalformed   Kind = "malformed"
	// KindNotServed means that the process does not serve the view.
	KindNotServed Kind = "not-served"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string {
	return fmt.Sprintf("viewer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// View is a view of one process, or the reason why there is none.
type View[T any] struct {
	Address netip.AddrPort `json:"address"`
	View    *T             `json:"view,omitempty"`
	Failure string         `json:"failure,omitempty"`
	// NotServed is true if the process does not serve this view.
	NotServed bool `json:"not-served,omitempty"`
}

// Client reads views from processes.
type Client struct {
	http *http.Client
}

// NewClient returns a client with a timeout for each request.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout}}
}

// ReadViews reads one view from every process. The result is in the order of the
// addresses.
func ReadViews[T any](ctx context.Context, c *Client, addresses []netip.AddrPort, path string, query url.Values) []View[T] {
	views := make([]View[T], len(addresses))
	semaphore := make(chan struct{}, maxConcurrentRequests)
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			views[i] = readView[T](ctx, c, address, path, query)
		})
	}
	group.Wait()
	return views
}

func readView[T any](ctx context.Context, c *Client, address netip.AddrPort, path string, query url.Values) View[T] {
	view := View[T]{Address: address}
	body, err := c.get(ctx, address, path, query)
	var failure *Error
	if errors.As(err, &failure) && failure.Kind == KindNotServed {
		view.NotServed = true
		return view
	}
	if err != nil {
		view.Failure = err.Error()
		return view
	}
	var value T
	if err := json.Unmarshal(body, &value); err != nil {
		view.Failure = (&Error{Op: path, Kind: KindMalformed, Err: err}).Error()
		return view
	}
	view.View = &value
	return view
}

func (c *Client) get(ctx context.Context, address netip.AddrPort, path string, query url.Values) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: address.String(), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, &Error{Op: path, Kind: KindUnreachable, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &Error{Op: path, Kind: KindUnreachable, Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, &Error{Op: path, Kind: KindUnreachable, Err: err}
	}
	if len(body) > maxAnswerBytes {
		return nil, &Error{Op: path, Kind: KindMalformed, Err: fmt.Errorf("answer is longer than %d bytes", maxAnswerBytes)}
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(path, response.StatusCode, body)
	}
	return body, nil
}

func refusalError(path string, status int, body []byte) error {
	refused := &Error{Op: path, Kind: KindRefused}
	var failure adminapi.Failure
	if err := json.Unmarshal(body, &failure); err != nil || failure.Code == "" {
		refused.Err = fmt.Errorf("status %d", status)
		return refused
	}
	if failure.Code == adminapi.CodeNotServed {
		refused.Kind = KindNotServed
	}
	refused.Err = fmt.Errorf("status %d: %s: %s", status, failure.Code, failure.Message)
	return refused
}

// Discover returns the given addresses and the admin addresses of all processes on
// the members that these nodes report as alive or suspect.
func (c *Client) Discover(ctx context.Context, addresses []netip.AddrPort) []netip.AddrPort {
	found := container.NewSet(addresses...)
	for _, answer := range ReadViews[adminapi.Members](ctx, c, addresses, adminapi.PathMembers, nil) {
		if answer.View == nil {
			continue
		}
		for _, member := range answer.View.Members {
			addAdminAddresses(found, member)
		}
	}
	all := make([]netip.AddrPort, 0, len(found))
	for address := range found {
		all = append(all, address)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

func addAdminAddresses(found container.Set[netip.AddrPort], member adminapi.Member) {
	if member.State != adminapi.MemberAlive && member.State != adminapi.MemberSuspect {
		return
	}
	if member.AdminAddress.IsValid() {
		found.Add(member.AdminAddress)
	}
	for _, gateway := range member.Gateways {
		if gateway.AdminAddress.IsValid() {
			found.Add(gateway.AdminAddress)
		}
	}
}
