package messenger

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"
)

// KeySource returns the shared keys. A process authenticates with the first key
// and accepts peers that hold any of them. It is called for each handshake, so
// that keys can be rotated without a restart.
type KeySource interface {
	SharedKeys() [][]byte
}

// serverName is the name in every certificate. Peers are authenticated by their
// public key, not by name.
const serverName = "jackdawcart-node"

// certificateLifetime is long because rotation replaces the shared key, not the
// certificate.
const certificateLifetime = 10 * 365 * 24 * time.Hour

// derivePrivateKey derives the Ed25519 key whose possession proves knowledge of
// the shared key.
func derivePrivateKey(shared []byte) (ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, shared, nil, "jackdawcart session identity", ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// newCertificate returns a self-signed certificate for the key pair derived from
// the shared key.
func newCertificate(shared []byte) (tls.Certificate, error) {
	key, err := derivePrivateKey(shared)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-24 * time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// tlsConfig returns the TLS configuration for either side of a session.
func tlsConfig(keys KeySource) (*tls.Config, error) {
	shared := keys.SharedKeys()
	if len(shared) == 0 {
		return nil, &Error{Op: "load-keys", Kind: KindUnauthenticated}
	}
	cert, err := newCertificate(shared[0])
	if err != nil {
		return nil, &Error{Op: "derive-identity", Kind: KindUnauthenticated, Err: err}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// Certificates are self-signed; verifyPeer checks that the peer's public
		// key is derived from a shared key.
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return verifyPeer(raw, shared)
		},
	}, nil
}

func verifyPeer(raw, shared [][]byte) error {
	if len(raw) == 0 {
		return &Error{Op: "verify-peer", Kind: KindUnauthenticated}
	}
	cert, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return &Error{Op: "verify-peer", Kind: KindUnauthenticated, Err: err}
	}
	public, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok {
		return &Error{Op: "verify-peer", Kind: KindUnauthenticated}
	}
	for _, s := range shared {
		key, err := derivePrivateKey(s)
		if err != nil {
			return err
		}
		if bytes.Equal(public, key.Public().(ed25519.PublicKey)) {
			return nil
		}
	}
	return &Error{Op: "verify-peer", Kind: KindUnauthenticated}
}
