// Package crcertificate signs certificates for tests of TLS between instances.
package crcertificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"crocusrack/core/crsettings"
)

// validity is how long before and after its making a certificate holds.
const validity = 24 * time.Hour

// Authority signs certificates.
type Authority struct {
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an authority that has signed its own certificate.
func New() (*Authority, error) {
	der, key, err := (*Authority)(nil).issue(1, netip.Addr{})
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse an authority: %w", err)
	}
	return &Authority{Certificate: certificate, key: key}, nil
}

// issue returns a certificate for an address and its key, in DER; it is signed
// by itself when a is nil.
func (a *Authority) issue(serial int64, address netip.Addr) (certificate []byte, key *ecdsa.PrivateKey, err error) {
	key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("make a key: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		NotBefore:             now.Add(-validity),
		NotAfter:              now.Add(validity),
		IsCA:                  a == nil,
		BasicConstraintsValid: true,
	}
	if address.IsValid() {
		template.IPAddresses = []net.IP{address.AsSlice()}
	}
	signer := a
	if signer == nil {
		signer = &Authority{Certificate: template, key: key}
	}
	certificate, err = x509.CreateCertificate(rand.Reader, template, signer.Certificate, &key.PublicKey, signer.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign a certificate: %w", err)
	}
	return certificate, key, nil
}

// Files are the files of one holder.
type Files struct {
	Dir string
	// Address is the holder's.
	Address netip.Addr
	Serial  int64
	// Modified is the files' modification time.
	Modified time.Time
	// Trusted is the authority that the holder trusts.
	Trusted *Authority
}

// Write writes the files of a holder whose certificate a signs.
func (a *Authority) Write(f Files) (crsettings.TLS, error) {
	certificate, key, err := a.issue(f.Serial, f.Address)
	if err != nil {
		return crsettings.TLS{}, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return crsettings.TLS{}, fmt.Errorf("encode a key: %w", err)
	}
	files := crsettings.TLS{
		Certificate:       filepath.Join(f.Dir, "certificate.pem"),
		Key:               filepath.Join(f.Dir, "key.pem"),
		ClientAuthorities: filepath.Join(f.Dir, "authorities.pem"),
	}
	for _, b := range []struct {
		file, kind string
		der        []byte
	}{
		{files.Certificate, "CERTIFICATE", certificate},
		{files.Key, "PRIVATE KEY", encoded},
		{files.ClientAuthorities, "CERTIFICATE", f.Trusted.Certificate.Raw},
	} {
		if err := f.put(b.file, &pem.Block{Type: b.kind, Bytes: b.der}); err != nil {
			return crsettings.TLS{}, err
		}
	}
	return files, nil
}

func (f Files) put(file string, b *pem.Block) error {
	if err := os.WriteFile(file, pem.EncodeToMemory(b), 0o600); err != nil {
		return fmt.Errorf("write a TLS file: %w", err)
	}
	if err := os.Chtimes(file, f.Modified, f.Modified); err != nil {
		return fmt.Errorf("date a TLS file: %w", err)
	}
	return nil
}
