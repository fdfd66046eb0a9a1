package runner_test

import (
	"errors"
	"net/http"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/entry/configurer"
	"jackdawcart.org/entry/runner"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/standin"
)

// Each setting of the platform must be recognized as changed, and those that are read only at
// the start must be named as such. A changed setting was ignored without a word.
func TestChangedPlatformSettings(t *testing.T) {
	described := standin.NewVM(0, 0)
	described.Domain, described.Store, described.ShutdownGrace = "a", "127.0.0.1:1", time.Second
	text := string(described.Settings()) + "zones.a=north\nlimits.memoryMb=136\nlimits.maxFds=2870\n" +
		"bounds.quotaWindowS=5\nbounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.coldOverage=1.5\nbounds.coldSlack=5\n"
	parse := func(text string) runner.Settings {
		s, err := decoder.ParseSettings("settings", text)
		if err != nil {
			t.Fatal(err)
		}
		return runner.Settings{Platform: s}
	}
	before := parse(text)
	changes := map[string]struct {
		value   string
		restart bool
	}{
		"nodeName": {"other", true}, "zone": {"b", true}, "zones.a": {"south", true},
		"bindAddresses.front": {"127.0.0.9:1", true}, "bindAddresses.ready": {"127.0.0.9:2", true},
		"internalPortRange": {"1,9", true}, "limits.memoryMb": {"184", true},
		"limits.maxFds": {"4100", true}, "bounds.quotaWindowS": {"9", false}, "bounds.quotaOverage": {"0.2", false},
		"bounds.quotaSlack": {"30", false}, "bounds.coldOverage": {"2", false}, "bounds.coldSlack": {"9", false},
		"platform.address": {"127.0.0.9:3", false}, "platform.ttlMinMs": {"2000", false},
		"bounds.drainMs": {"9", false}, "bounds.graceS": {"4", false}, "bounds.configApplyMs": {"9", false},
		"bounds.stabilityWindowMs": {"9", false}, "bounds.retryBudgetRatio": {"0.9", false},
		"bounds.budgetWindowS": {"9", false}, "bounds.budgetExtraRetries": {"9", false},
	}
	for line := range strings.Lines(text) {
		name, _, _ := strings.Cut(line, "=")
		change, ok := changes[name]
		if !ok {
			t.Errorf("%s is not covered", name)
			continue
		}
		after := parse(strings.Replace(text, line, name+"="+change.value+"\n", 1))
		known, _, _ := strings.Cut(strings.Replace(name, "zones.a", "zones", 1), "=")
		checkNames(t, name+": changed", runner.Changed(before, after), []string{known})
		var restart []string
		if change.restart {
			restart = []string{known}
		}
		checkNames(t, name+": needs a restart", runner.NeedRestart(before, after), restart)
	}
}

// Each setting of the process's own file must be recognized as changed as well.
func TestChangedOwnSettings(t *testing.T) {
	before := runner.Settings{Own: configurer.Defaults()}
	immediate := map[string]bool{"log-level": true, "store-timeout": true}
	kind := reflect.TypeFor[configurer.Settings]()
	for i := range kind.NumField() {
		name := kind.Field(i).Tag.Get("json")
		after := before
		switch field := reflect.ValueOf(&after.Own).Elem().Field(i); field.Kind() {
		case reflect.String:
			field.SetString("other")
		case reflect.Float64:
			field.SetFloat(0.5)
		default:
			field.SetInt(field.Int() + 1)
		}
		checkNames(t, name+": changed", runner.Changed(before, after), []string{name})
		if got := len(runner.NeedRestart(before, after)) == 0; got != immediate[name] {
			t.Errorf("%s takes effect without a restart: %t, want %t", name, got, immediate[name])
		}
	}
}

func checkNames(t *testing.T, what string, got, want []string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// change replaces the value of a field in the settings file of a VM.
func (v *vm) change(t *testing.T, field, value string) {
	t.Helper()
	text, err := os.ReadFile(v.settings)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, field+"=") {
			lines[i] = field + "=" + value
		}
	}
	// A file that is written in place may be read half-way.
	if err := errors.Join(os.WriteFile(v.settings+".new", []byte(strings.Join(lines, "\n")), 0o600), os.Rename(v.settings+".new", v.settings)); err != nil {
		t.Fatal(err)
	}
}

// A stop must be planned by the grace period that is in the settings when SIGTERM arrives. It was
// planned by that of the start, and requests were cut off when the process was killed. SIGHUP
// may not have come, and the file may have changed just before.
func TestStopFollowsChangedGrace(t *testing.T) {
	for name, signal := range map[string]bool{"SIGHUP": true, "no signal": false} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, 1)
			v := fleet.vms[0]
			v.change(t, "bounds.graceS", "2")
			v.change(t, "nodeName", "renamed")
			if signal {
				_ = v.process.Signal(syscall.SIGHUP)
			}
			_ = v.process.Signal(syscall.SIGTERM)
			if err := v.wait(); err != nil {
				t.Errorf("the process ended with %v", err)
			}
			log := fleet.logs(t)
			for _, want := range []string{"msg=stopping", "grace=2s", "take effect only after a restart", "nodeName"} {
				if !strings.Contains(log, want) {
					t.Errorf("no %q in the log", want)
				}
			}
		})
	}
}

// After platform.address has changed, the VM must follow the store at the new address, also if
// the former one still answers. It went on by the former store's configuration.
func TestStoreAddressChanges(t *testing.T) {
	fleet := newFleet(t, 1)
	configuration := standin.Configuration{Version: 2, Shards: shardCount - 1, LatencyObjective: 500 * time.Millisecond, MinShardShare: 0.75}
	moved := standin.NewStore()
	for _, target := range fleet.running() {
		moved.Register(target, target.Address(), "a")
	}
	for range 100 {
		// The revisions of the new store continue those of the former one.
		moved.Configure(configuration)
	}
	v := fleet.vms[0]
	v.change(t, "platform.address", serveStore(t, moved))
	v.change(t, "bounds.budgetExtraRetries", "7")
	_ = v.process.Signal(syscall.SIGHUP)
	time.Sleep(changeBound)
	if got := fleet.coveredShards(t, 0, "after"); got != configuration.Shards {
		t.Errorf("answers from %d shards, want the %d of the new store", got, configuration.Shards)
	}
	if status := fleet.do(t, 0, http.MethodGet, "/all/x", "next"); status != http.StatusOK {
		t.Errorf("status %d after the store has moved", status)
	}
}
