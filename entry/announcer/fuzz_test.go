package announcer_test

import (
	"testing"

	"jackdawcart.org/entry/announcer"
	"jackdawcart.org/platform/storer"
)

// An entry of any bytes must give an error or a member that can be polled.
func FuzzParseItem(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		member, ok, err := announcer.ParseItem(storer.Item{Key: "entry-vms/vm-1", Value: value})
		if !ok || member.Name != "vm-1" {
			t.Fatalf("member %+v, of an entry VM: %t", member, ok)
		}
		if err == nil && (member.Domain == "" || !member.Address.IsValid() || !member.RequestAddress.IsValid()) {
			t.Errorf("member %+v of %q", member, value)
		}
	})
}
