package ticketer

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"strings"
	"time"
	"unicode/utf8"
)

// MaxLength is the maximum length of an encoded ticket in bytes, as specified by
// the caller interface.
const MaxLength = 1024

// formatVersion is the first part of every encoded ticket and is covered by the
// tag.
const formatVersion = "t1"

var encoding = base64.RawURLEncoding.Strict()

// Ticket allows one request of one caller to run at most once.
type Ticket struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	ID          uint64 `json:"id"`
	// Expires is the expiry on the issuer's monotonic clock, counted from the
	// creation of the issuing Table. Only the issuer can check it.
	Expires time.Duration `json:"expires"`
	Caller  string        `json:"caller"`
}

// Fingerprint identifies the request that uses a ticket.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a non-idempotent request.
func FingerprintOf(service, operation string, payload []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(service), []byte(operation), payload} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

// Encode returns the ticket as text, with an HMAC tag of the current key.
func (r *Keyring) Encode(ticket Ticket) (string, error) {
	if !utf8.ValidString(ticket.Caller) || !utf8.ValidString(ticket.Node) {
		return "", &Error{Op: "encode", Kind: KindInvalid}
	}
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(ticket); err != nil {
		return "", &Error{Op: "encode", Kind: KindInvalid, Err: err}
	}
	signed := formatVersion + "." + encoding.EncodeToString(body.Bytes())
	text := signed + "." + encoding.EncodeToString(r.sign(signed))
	if len(text) > MaxLength {
		return "", &Error{Op: "encode", Kind: KindInvalid}
	}
	return text, nil
}

// Verify decodes a ticket and checks its tag and its caller. It does not check
// the expiry, which only the issuing Table can check.
func (r *Keyring) Verify(text, caller string) (Ticket, error) {
	signed, tag, err := split(text)
	if err != nil {
		return Ticket{}, err
	}
	if !r.accepts(signed, tag) {
		return Ticket{}, &Error{Op: "verify", Kind: KindForged}
	}
	ticket, err := decodeBody(strings.TrimPrefix(signed, formatVersion+"."))
	if err != nil {
		return Ticket{}, err
	}
	if ticket.Caller != caller {
		return Ticket{}, &Error{Op: "verify", Kind: KindWrongCaller}
	}
	return ticket, nil
}

func split(text string) (signed string, tag []byte, err error) {
	if len(text) > MaxLength {
		return "", nil, &Error{Op: "decode", Kind: KindMalformed}
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] != formatVersion {
		return "", nil, &Error{Op: "decode", Kind: KindMalformed}
	}
	// The base64 decoder skips line breaks, but each ticket must have only one
	// valid encoding.
	if strings.ContainsAny(text, "\r\n") {
		return "", nil, &Error{Op: "decode", Kind: KindMalformed}
	}
	tag, err = encoding.DecodeString(parts[2])
	if err != nil {
		return "", nil, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	return parts[0] + "." + parts[1], tag, nil
}

func decodeBody(text string) (Ticket, error) {
	body, err := encoding.DecodeString(text)
	if err != nil {
		return Ticket{}, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	var ticket Ticket
	if err := json.Unmarshal(body, &ticket); err != nil {
		return Ticket{}, &Error{Op: "decode", Kind: KindMalformed, Err: err}
	}
	return ticket, nil
}
