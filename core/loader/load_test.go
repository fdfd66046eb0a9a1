package loader_test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/validator"
)

const relaySettings = `{
  // One relay of the failure domain rosario.
  "node": "rosario-1",
  "region": "litoral",
  "failure-domain": "rosario",
  "session-address": "127.0.0.1:8110",
  "admin-address": "127.0.0.1:8111",
  "platform-address": "127.0.0.1:8090",
  "key-file": "shared.keys",
  "drain-time": "20s",
  "neighbours": [{"failure-domain": "parana", "relays": ["127.0.0.1:8150"]}],
}`

func ExampleParse() {
	_, err := loader.Parse("relay.json", []byte(`{
  "node": "Rosario 1",
  "region": "litoral",
  "failure-domain": "rosario",
  "session-address": "127.0.0.1",
  "admin-address": "127.0.0.1:8111",
  "platform-address": "127.0.0.1:8090",
  "drain-time": "0s",
  "drain-tme": "20s",
}`), loader.Relay)
	var problems validator.Problems
	errors.As(err, &problems)
	fmt.Println(problems)
	// Output:
	// relay.json:1: key-file: missing
	// relay.json:2: node: "Rosario 1" is not a name of lower-case letters, digits, dots and hyphens
	// relay.json:5: session-address: "127.0.0.1" is not an IP address with a port, such as "10.0.0.7:8080"
	// relay.json:8: drain-time: is not between 1s and 10m0s
	// relay.json:9: drain-tme: unknown name
}

// Guards against settings that are lost or replaced by defaults, and against a
// relative key file path that is resolved against the working directory.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.json")
	if err := os.WriteFile(path, []byte(relaySettings), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := loader.Load(path, loader.Relay)
	if err != nil {
		t.Fatal(err)
	}
	want := loader.Defaults()
	want.Node = "rosario-1"
	want.Region = "litoral"
	want.FailureDomain = "rosario"
	want.SessionAddress = netip.MustParseAddrPort("127.0.0.1:8110")
	want.AdminAddress = netip.MustParseAddrPort("127.0.0.1:8111")
	want.PlatformAddress = netip.MustParseAddrPort("127.0.0.1:8090")
	want.KeyFile = filepath.Join(filepath.Dir(path), "shared.keys")
	want.DrainTime = 20 * time.Second
	want.Neighbours = []loader.Neighbour{{
		FailureDomain: "parana",
		Relays:        []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:8150")},
	}}
	if diff := cmp.Diff(&want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a gateway that starts without a caller address or relays and so
// cannot serve requests.
func TestParseGatewayNeedsCallersAndRelays(t *testing.T) {
	_, err := loader.Parse("gateway.json", []byte(relaySettings), loader.Gateway)
	var got validator.Problems
	errors.As(err, &got)
	want := validator.Problems{
		{File: "gateway.json", Line: 1, Field: "caller-address", Message: "missing; a gateway needs it"},
		{File: "gateway.json", Line: 1, Field: "relays", Message: "missing; a gateway needs the relays of its failure domain"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a malformed or truncated settings file that causes a panic or an
// error without a line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(relaySettings))
	f.Add([]byte(`{"node": 1, "node": "a", "relays": ["x", "x"], "neighbours": [{}]}`))
	f.Add([]byte(`{"max-queries": 1.0, "drain-time": null, "log-level": "loud"}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := loader.Parse("fuzz", text, loader.Gateway)
		if (settings == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", settings, err)
		}
		var problems validator.Problems
		if err != nil && (!errors.As(err, &problems) || problems[0].Line < 1) {
			t.Fatalf("error without position: %v", err)
		}
	})
}
