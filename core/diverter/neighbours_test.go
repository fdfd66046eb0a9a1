package diverter_test

import (
	"fmt"
	"net/netip"
	"testing"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/diverter"
	"jackdawcart.org/core/registrar"
)

// newNeighbours returns the neighbours of vm-a-0: three VMs in each of two failure domains.
func newNeighbours() *diverter.Neighbours {
	var members []registrar.Member
	for _, domain := range []string{"a", "b"} {
		for i := range 3 {
			members = append(members, registrar.Member{
				Name: fmt.Sprintf("vm-%s-%d", domain, i), Domain: domain, RequestAddress: netip.MustParseAddrPort("10.0.0.1:7"),
			})
		}
	}
	members = append(members, registrar.Member{Name: "vm-a-without-address", Domain: "a"})
	n := diverter.NewNeighbours(members[0])
	n.SetMembers(members)
	return n
}

// A whole failure domain may be cut off, so a request must reach another domain after few
// attempts, although the own domain is preferred.
func TestOtherDomainIsAskedSoon(t *testing.T) {
	n := newNeighbours()
	tried := container.NewSet[string]()
	var domains string
	for {
		m, ok := n.Choose(start, tried)
		if !ok {
			break
		}
		tried.Add(m.Name)
		domains += m.Domain
	}
	if domains != "aabbb" {
		t.Fatalf("asked domains %q, want aabbb: every VM with an address but the own one, the near ones first", domains)
	}
}

// A VM that could not take a request must not be asked by each of the following ones, and
// be asked again later.
func TestUnavailableVMIsAvoided(t *testing.T) {
	n := newNeighbours()
	n.Avoid(start, "vm-a-1")
	none := container.NewSet[string]()
	for range 20 {
		if m, ok := n.Choose(at(500), none); !ok || m.Name != "vm-a-2" {
			t.Fatalf("chose %q, want vm-a-2", m.Name)
		}
	}
	again := container.NewSet[string]()
	for range 50 {
		m, _ := n.Choose(at(10_000), none)
		again.Add(m.Name)
	}
	if !again.Has("vm-a-1") {
		t.Fatal("vm-a-1 is not asked again after 10 s")
	}
}

// While most VMs are cut off, a request must first go to those that have lately taken one: it was
// refused by six VMs chosen at random. The others must be asked at times, so that the load
// spreads, and the preference must end.
func TestVMThatTookARequestIsPreferred(t *testing.T) {
	var members []registrar.Member
	for i := range 84 {
		members = append(members, registrar.Member{Name: fmt.Sprintf("vm-%d", i), Domain: "a", RequestAddress: netip.MustParseAddrPort("10.0.0.1:7")})
	}
	n := diverter.NewNeighbours(members[0])
	n.SetMembers(members)
	for _, name := range []string{"vm-7", "vm-8", "vm-9"} {
		n.Took(start, name)
	}
	none := container.NewSet[string]()
	count := func(ms int) map[string]int {
		chosen := make(map[string]int)
		for range 1000 {
			m, _ := n.Choose(at(ms), none)
			chosen[m.Name]++
		}
		return chosen
	}
	chosen := count(100)
	if first := chosen["vm-7"] + chosen["vm-8"] + chosen["vm-9"]; first < 650 || len(chosen) < 20 {
		t.Errorf("%d of 1000 requests go to VMs that took one, to %d VMs; want at least 650 and 20", first, len(chosen))
	}
	if later := count(10_000); later["vm-7"] > 100 {
		t.Errorf("%d of 1000 requests go to a VM that took one 10 s ago", later["vm-7"])
	}
}
