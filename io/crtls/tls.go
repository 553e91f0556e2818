// Package crtls makes TLS configurations from the files that settings name.
// Files that are replaced come into force without a restart.
package crtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"crocusrack/core/crsettings"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = 5 * time.Second

// Source gives TLS configurations from files. The fields are set before use.
type Source struct {
	Files crsettings.TLS
	// Warn is told when changed files can't be used; the configuration read
	// before stays in force. It may be nil.
	Warn func(error)

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	loaded  *material
}

// stamp tells a replaced file from the one that was read.
type stamp struct {
	modified time.Time
	size     int64
}

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	// authorities is nil when no file is set.
	authorities *x509.CertPool
	server      *tls.Config
}

// Server returns the configuration of a listener. Clients must show a
// certificate of the client authorities when these are set.
func (s *Source) Server() (*tls.Config, error) {
	m, err := s.current()
	if err != nil {
		return nil, err
	}
	config := m.server.Clone()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m, err := s.current()
		if err != nil {
			return nil, err
		}
		return m.server, nil
	}
	return config, nil
}

// Client returns the configuration of one connection to another instance. It
// shows the certificate and checks the server's against the client authorities.
// Call it again for the next connection.
func (s *Source) Client() (*tls.Config, error) {
	m, err := s.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols(),
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
	}, nil
}

// protocols are offered in the handshake, best first.
func protocols() []string { return []string{"h2", "http/1.1"} }

// current returns what the files hold, as of at most checkInterval ago.
func (s *Source) current() (*material, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.loaded != nil && now.Sub(s.checked) < checkInterval {
		return s.loaded, nil
	}
	s.checked = now
	err := s.refresh()
	if err != nil && s.loaded == nil {
		return nil, err
	}
	if err != nil && s.Warn != nil {
		s.Warn(err)
	}
	return s.loaded, nil
}

// refresh reads the files when one of them has changed. The stamps are taken
// before reading and kept only when all files fit together, so that a file
// replaced meanwhile is read at the next look.
func (s *Source) refresh() error {
	stamps, err := s.look()
	if err != nil {
		return err
	}
	if s.loaded != nil && stamps == s.stamps {
		return nil
	}
	m, err := load(s.Files)
	if err != nil {
		return err
	}
	s.loaded, s.stamps = m, stamps
	return nil
}

func (s *Source) look() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{s.Files.Certificate, s.Files.Key, s.Files.ClientAuthorities} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fmt.Errorf("look at TLS file: %w", err)
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func load(files crsettings.TLS) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", files.Certificate, err)
	}
	m := &material{certificate: certificate}
	m.server = &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols(),
		Certificates: []tls.Certificate{certificate},
	}
	if files.ClientAuthorities == "" {
		return m, nil
	}
	m.authorities, err = Authorities(files.ClientAuthorities)
	if err != nil {
		return nil, err
	}
	m.server.ClientCAs = m.authorities
	m.server.ClientAuth = tls.RequireAndVerifyClientCert
	return m, nil
}

// Outward returns the configuration of connections to a service outside the
// fleet, whose certificate is checked against the authorities of a PEM file, or
// the system's when file is empty.
func Outward(file string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols()}
	if file == "" {
		return config, nil
	}
	var err error
	config.RootCAs, err = Authorities(file)
	return config, err
}

// Authorities reads the certificates of a PEM file.
func Authorities(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("load authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("load authorities %s: %w", file, errNoCertificate)
	}
	return pool, nil
}

var errNoCertificate = errors.New("the file holds no PEM certificate")
