package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/tailscale/hujson"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure-domain"`
	// State is live or leaving.
	State string `json:"state"`
}

// VMList is the list of live and leaving VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// States of a VM.
const (
	vmLive    = "live"
	vmLeaving = "leaving"
)

type vmVersion struct {
	at   time.Time
	list VMList
}

// vmHistory keeps earlier versions of the list, which are served during the lag.
type vmHistory struct {
	lag      time.Duration
	versions []vmVersion
}

// SetVMs replaces the VM list. The new list becomes visible after the lag; the
// first one is visible immediately.
func (s *Server) SetVMs(list VMList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.versions = append(s.vms.versions, vmVersion{time.Now(), list})
}

func (s *Server) listVMs(*http.Request) answer {
	lag := time.Duration(0)
	if f, ok := s.findFault(FaultVMLag); ok {
		lag = time.Duration(f.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return answer{http.StatusOK, s.vms.visible(max(lag, s.vms.lag))}
}

// visible returns the newest list that is at least as old as the lag, or else the
// oldest list.
func (h *vmHistory) visible(lag time.Duration) VMList {
	cutoff := time.Now().Add(-lag)
	for i := len(h.versions) - 1; i >= 0; i-- {
		if i == 0 || !h.versions[i].at.After(cutoff) {
			return h.versions[i].list
		}
	}
	return VMList{VMs: []VM{}}
}

func (s *Server) handleSetVMs(rw http.ResponseWriter, r *http.Request) {
	list, err := decodeVMs(json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes)))
	if err != nil {
		s.writeAnswer(rw, errorAnswer(http.StatusBadRequest, "malformed", err.Error()))
		return
	}
	s.SetVMs(list)
	rw.WriteHeader(http.StatusNoContent)
}

func decodeVMs(decoder *json.Decoder) (VMList, error) {
	var list VMList
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return list, err
	}
	return list, list.validate()
}

func (l VMList) validate() error {
	for _, vm := range l.VMs {
		if vm.State != vmLive && vm.State != vmLeaving {
			return fmt.Errorf("server: vms: %s: state %q is neither live nor leaving", vm.Name, vm.State)
		}
	}
	return nil
}

// ParseVMs reads a VM list from JSON with comments.
func ParseVMs(text []byte) (VMList, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return VMList{}, fmt.Errorf("server: vms: %w", err)
	}
	return decodeVMs(json.NewDecoder(bytes.NewReader(standard)))
}
