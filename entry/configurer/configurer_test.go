package configurer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/entry/configurer"
)

// The deployed settings file must be valid.
func TestDeployedSettings(t *testing.T) {
	if _, err := configurer.Load("../../deploy/entry.hujson"); err != nil {
		t.Fatal(err)
	}
}

// Fields that a file omits have their default values.
func TestDefaults(t *testing.T) {
	got, err := configurer.Parse("x.hujson", []byte("// only this\n{\"caller-time\": \"5ms\",}"))
	if err != nil {
		t.Fatal(err)
	}
	want := configurer.Defaults()
	want.CallerTime = 5 * time.Millisecond
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("settings (-want +got):\n%s", diff)
	}
}

// Every invalid value is reported with its file, line and field, and an unknown field
// with its name.
func TestInvalidFields(t *testing.T) {
	_, err := configurer.Parse("x.hujson", []byte("{\n\"log-level\": \"loud\",\n\"metrics-port\": 99,\n\"colour\": 1\n}"))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"x.hujson:2: log-level", "x.hujson:3: metrics-port", "colour"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
}

// Equal ports, or a port outside the range that the platform provides, must be
// reported before the process starts.
func TestPortsFit(t *testing.T) {
	settings := configurer.Defaults()
	if err := settings.CheckPorts(7740, 7755, true); err != nil {
		t.Fatal(err)
	}
	if err := settings.CheckPorts(7740, 7741, true); err == nil || !strings.Contains(err.Error(), "allowed: at most 1") {
		t.Errorf("too few ports: %v", err)
	}
	settings.PeerPort = settings.MetricsPort
	if err := settings.CheckPorts(7740, 7755, true); err == nil || !strings.Contains(err.Error(), "two different") {
		t.Errorf("the same port twice: %v", err)
	}
	settings = configurer.Defaults()
	settings.QuotaPort = settings.PeerPort
	if err := settings.CheckPorts(7740, 7755, true); err == nil || !strings.Contains(err.Error(), "two different") {
		t.Errorf("the port of quotas twice: %v", err)
	}
	if err := settings.CheckPorts(7740, 7755, false); err != nil {
		t.Errorf("a port that is not used: %v", err)
	}
}
