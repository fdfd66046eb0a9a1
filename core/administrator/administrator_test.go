package administrator_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/administrator"
)

// The load balancer routes callers by the readiness status, and operators' tools
// read the error codes. A wrong status would send work to a process that cannot
// serve it.
func TestStatusOfEachEndpoint(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	ready := false
	s := administrator.New(func() (bool, string) { return ready, "no configuration in force" }, http.NotFoundHandler())
	s.AddView("members", func(r *http.Request) any { return map[string]string{"of": r.URL.Query().Get("service")} })
	if err := s.Listen(t.Context(), addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	tests := []struct {
		path   string
		ready  bool
		status int
		want   map[string]string
	}{
		{"/v1/health", false, 200, map[string]string{"state": "healthy"}},
		{"/v1/ready", false, 503, map[string]string{"state": "not-ready", "reason": "no configuration in force"}},
		{"/v1/ready", true, 200, map[string]string{"state": "ready"}},
		{"/v1/admin/members?service=library", true, 200, map[string]string{"of": "library"}},
		{"/v1/admin/nothing", true, 404, map[string]string{
			"code": "not-served", "message": "this process does not serve /v1/admin/nothing",
		}},
	}
	for _, test := range tests {
		ready = test.ready
		response, err := http.Get("http://" + addr.String() + test.path)
		if err != nil {
			t.Fatal(err)
		}
		var got map[string]string
		err = json.NewDecoder(response.Body).Decode(&got)
		response.Body.Close()
		if diff := cmp.Diff(test.want, got); err != nil || response.StatusCode != test.status || diff != "" {
			t.Errorf("%s: status %d, error %v (-want +got):\n%s", test.path, response.StatusCode, err, diff)
		}
	}
	if err := s.Listen(t.Context(), addr); err == nil {
		t.Error("Listen succeeded on an address that is in use")
	}
}
