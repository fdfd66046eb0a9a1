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

// KeySource gives the shared keys: the first one is used, all are accepted.
// It is asked at each handshake, so that keys can change without a restart.
type KeySource interface {
	SharedKeys() [][]byte
}

// serverName is the name in every certificate; peers are known by key, not by name.
const serverName = "jackdawcart-node"

// certificateLife is long because the key, not the certificate, is rotated.
const certificateLife = 10 * 365 * 24 * time.Hour

// nodeKey derives the key pair that proves knowledge of a shared key.
func nodeKey(shared []byte) (ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, shared, nil, "jackdawcart session identity", ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// certificate returns a self-signed certificate for the shared key.
func certificate(shared []byte) (tls.Certificate, error) {
	key, err := nodeKey(shared)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-24 * time.Hour),
		NotAfter:     time.Now().Add(certificateLife),
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// tlsConfig returns a configuration for either side of a session.
func tlsConfig(keys KeySource) (*tls.Config, error) {
	shared := keys.SharedKeys()
	if len(shared) == 0 {
		return nil, &Error{Op: "load-keys", Kind: KindUnauthenticated}
	}
	cert, err := certificate(shared[0])
	if err != nil {
		return nil, &Error{Op: "derive-identity", Kind: KindUnauthenticated, Err: err}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// Peers present self-signed certificates; verifyPeer checks that their
		// public key comes from a shared key.
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
		key, err := nodeKey(s)
		if err != nil {
			return err
		}
		if bytes.Equal(public, key.Public().(ed25519.PublicKey)) {
			return nil
		}
	}
	return &Error{Op: "verify-peer", Kind: KindUnauthenticated}
}
