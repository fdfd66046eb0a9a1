package keeper

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

const (
	maxLeaseBytes = 4 << 10
	maxVMsBytes   = 8 << 20
)

// Lease keeps the entries bound to it in the store until its time to live has
// passed since the last renewal.
type Lease struct {
	ID  string
	TTL time.Duration
}

type wireLease struct {
	ID  string `json:"id,omitempty"`
	TTL string `json:"ttl,omitempty"`
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	k := &call{op: "grant", method: http.MethodPost, path: "/v1/leases", maxAnswerBytes: maxLeaseBytes}
	k.body = wireLease{TTL: ttl.String()}
	var answer wireLease
	if err := c.do(ctx, k, &answer); err != nil {
		return Lease{}, err
	}
	if answer.ID == "" {
		return Lease{}, k.unusableAnswer(KindMalformed, errors.New("answer has no lease identifier"))
	}
	return Lease{ID: answer.ID, TTL: ttl}, nil
}

// Renew restarts the time to live of a lease. It fails with KindNotFound if the
// lease has ended.
func (c *Client) Renew(ctx context.Context, lease Lease) error {
	path := "/v1/leases/" + url.PathEscape(lease.ID)
	k := &call{op: "renew", method: http.MethodPut, path: path, maxAnswerBytes: maxLeaseBytes}
	k.body = wireLease{TTL: lease.TTL.String()}
	var answer wireLease
	return c.do(ctx, k, &answer)
}

// VMState is the state of a VM in the platform's list, which may be out of date.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name string
	// Address has port 0 if the platform lists none.
	Address       netip.AddrPort
	FailureDomain string
	State         VMState
}

type wireVM struct {
	Name          string  `json:"name"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure-domain"`
	State         VMState `json:"state"`
}

// VMs reads the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	k := &call{op: "vms", method: http.MethodGet, path: "/v1/vms", maxAnswerBytes: maxVMsBytes}
	var answer struct {
		VMs []wireVM `json:"vms"`
	}
	if err := c.do(ctx, k, &answer); err != nil {
		return nil, err
	}
	vms := make([]VM, 0, len(answer.VMs))
	for _, w := range answer.VMs {
		address, err := parseAddress(w.Address)
		if err != nil {
			return nil, &Error{Op: k.op, Kind: KindMalformed, Err: err}
		}
		vms = append(vms, VM{Name: w.Name, Address: address, FailureDomain: w.FailureDomain, State: w.State})
	}
	return vms, nil
}

func parseAddress(text string) (netip.AddrPort, error) {
	if address, err := netip.ParseAddrPort(text); err == nil {
		return address, nil
	}
	ip, err := netip.ParseAddr(text)
	return netip.AddrPortFrom(ip, 0), err
}
