// Package devcert creates short-lived certificates for tests and demonstrations.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// ErrGenerate is matched by all errors of this package.
var ErrGenerate = errors.New("devcert: cannot generate")

// validity is the lifetime of the certificates: long enough for a demonstration, too short for production.
const validity = 24 * time.Hour

// Files holds the paths of the PEM files that Write created.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Write creates a certificate authority and a server certificate for the given IP addresses and writes them to dir. The key
// of the authority is not written. Errors match ErrGenerate.
func Write(dir string, ips ...net.IP) (Files, error) {
	files := Files{
		CA:   filepath.Join(dir, "ca.crt"),
		Cert: filepath.Join(dir, "tls.crt"),
		Key:  filepath.Join(dir, "tls.key"),
	}
	ca, caKey, err := newAuthority()
	if err != nil {
		return Files{}, errors.Wrap(ErrGenerate, err.Error())
	}
	leaf, leafKey, err := issueServerCert(ca, caKey, ips)
	if err != nil {
		return Files{}, errors.Wrap(ErrGenerate, err.Error())
	}
	key, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		return Files{}, errors.Wrap(ErrGenerate, err.Error())
	}
	err = errors.Join(
		writePEM(files.CA, "CERTIFICATE", ca.Raw),
		writePEM(files.Cert, "CERTIFICATE", leaf),
		writePEM(files.Key, "EC PRIVATE KEY", key),
	)
	if err != nil {
		return Files{}, errors.Wrap(ErrGenerate, err.Error())
	}
	return files, nil
}

// newTemplate returns a certificate with a random serial number. It is valid from one hour ago on.
func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}, nil
}

// newAuthority creates a self-signed certificate authority and its key.
func newAuthority() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t, err := newTemplate("tamarack development authority")
	if err != nil {
		return nil, nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(raw)
	return ca, key, err
}

// issueServerCert creates a server certificate for the IP addresses, in DER, and its key.
func issueServerCert(ca *x509.Certificate, caKey *ecdsa.PrivateKey, ips []net.IP) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t, err := newTemplate("tamarackd")
	if err != nil {
		return nil, nil, err
	}
	t.IPAddresses = ips
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	raw, err := x509.CreateCertificate(rand.Reader, t, ca, &key.PublicKey, caKey)
	return raw, key, err
}

// writePEM writes one PEM block to a file that only the owner can read.
func writePEM(path, kind string, raw []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
}
