package ticketer_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/ticketer"
)

var sampleTicket = ticketer.Ticket{
	Node: "gw-1", Incarnation: 1<<64 - 1, ID: 3, Expires: time.Minute, Caller: "brigade <9>",
}

func keyring(t testing.TB, current string, previous ...[]byte) *ticketer.Keyring {
	keys, err := ticketer.NewKeyring([]byte(current), previous...)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func encode(t testing.TB, keys *ticketer.Keyring) string {
	text, err := keys.Encode(sampleTicket)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Verify must reject a changed ticket, a removed key and another caller's
// ticket, and a key rotation must not invalidate current tickets.
func TestVerify(t *testing.T) {
	old := encode(t, keyring(t, "old"))
	flipped := []byte(old)
	flipped[8] ^= 1
	for name, c := range map[string]struct {
		keys         *ticketer.Keyring
		text, caller string
		want         error
	}{
		"same key":     {keyring(t, "old"), old, sampleTicket.Caller, nil},
		"rotated key":  {keyring(t, "new", []byte("old")), old, sampleTicket.Caller, nil},
		"removed key":  {keyring(t, "new"), old, sampleTicket.Caller, &ticketer.Error{Kind: ticketer.KindForged}},
		"changed body": {keyring(t, "old"), string(flipped), sampleTicket.Caller, &ticketer.Error{Kind: ticketer.KindForged}},
		"other caller": {keyring(t, "old"), old, "brigade", &ticketer.Error{Kind: ticketer.KindWrongCaller}},
		"line break":   {keyring(t, "old"), old + "\n", sampleTicket.Caller, &ticketer.Error{Kind: ticketer.KindMalformed}},
		"too long":     {keyring(t, "old"), "t1." + strings.Repeat("A", 1019) + ".AA", "", &ticketer.Error{Kind: ticketer.KindMalformed}},
	} {
		got, err := c.keys.Verify(c.text, c.caller)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", name, err, c.want)
		}
		if diff := cmp.Diff(sampleTicket, got); c.want == nil && diff != "" {
			t.Errorf("%s: ticket differs (-want +got):\n%s", name, diff)
		}
	}
}

// Verify reads untrusted text from callers. It must not panic on any input, and
// must accept only one encoding of a ticket, or one tag would be valid for two
// texts.
func FuzzVerify(f *testing.F) {
	keys := keyring(f, "key")
	valid := encode(f, keys)
	for _, seed := range []string{
		valid, valid + "A", valid[:len(valid)-1], strings.Replace(valid, "t1", "t2", 1),
		"", "t1..", "t1.e30.e30", "t1." + strings.Repeat("A", 1100) + ".AA",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := keys.Verify(text, sampleTicket.Caller)
		if err == nil && (text != valid || ticket != sampleTicket) {
			t.Fatalf("accepted %q as %+v", text, ticket)
		}
	})
}
