package crctl

import (
	"crypto/tls"
	"net/http"
	"net/netip"

	"crocusrack/core/crsettings"
	"crocusrack/io/crclient"
	"crocusrack/io/crtls"
	"crocusrack/io/crtransport"
	"crocusrack/schema/crcaller/crcallerconnect"
	"crocusrack/schema/croperator/croperatorconnect"
)

// connection holds the flags that tell how instances are reached.
type connection struct {
	operator  string
	caller    string
	plainText bool
	files     crsettings.TLS
}

// target is a listener and the way to reach it.
type target struct {
	address netip.AddrPort
	http    *http.Client
	scheme  string
}

func (t target) url() string { return t.scheme + "://" + t.address.String() }

// to returns the target at the address that a flag gives.
func (c connection) to(flag, text string) (target, error) {
	address, err := parseAddress(flag, text)
	if err != nil {
		return target{}, err
	}
	client, scheme, err := c.http()
	if err != nil {
		return target{}, err
	}
	return target{address, client, scheme}, nil
}

// operators returns a client for the operator listener.
func (c connection) operators() (croperatorconnect.OperatorServiceClient, error) {
	t, err := c.to("-operator", c.operator)
	if err != nil {
		return nil, err
	}
	return croperatorconnect.NewOperatorServiceClient(t.http, t.url()), nil
}

// callers returns a client for the caller listener.
func (c connection) callers() (crcallerconnect.CallerServiceClient, error) {
	t, err := c.to("-caller", c.caller)
	if err != nil {
		return nil, err
	}
	return crcallerconnect.NewCallerServiceClient(t.http, t.url()), nil
}

// client returns a callers' client that starts from the caller listener.
func (c connection) client() (*crclient.Client, error) {
	t, err := c.to("-caller", c.caller)
	if err != nil {
		return nil, err
	}
	return &crclient.Client{Seeds: []netip.AddrPort{t.address}, HTTP: t.http, Scheme: t.scheme}, nil
}

func parseAddress(name, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, failf(Usage, "%s: not an IP address and port: %q", name, text)
	}
	return address, nil
}

func (c connection) http() (client *http.Client, scheme string, err error) {
	if c.plainText {
		if c.files != (crsettings.TLS{}) {
			return nil, "", failf(Usage, "-plain-text is set although TLS files are named")
		}
		return crtransport.Client(crtransport.NetDial, nil), crtransport.Scheme(nil), nil
	}
	config, err := c.tls()
	if err != nil {
		return nil, "", failure{status: Usage, err: err}
	}
	return crtransport.Client(crtransport.NetDial, config), crtransport.Scheme(config), nil
}

func (c connection) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.files.ClientAuthorities != "" {
		pool, err := crtls.Authorities(c.files.ClientAuthorities)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	if c.files.Certificate == "" && c.files.Key == "" {
		return config, nil
	}
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return nil, err
	}
	config.Certificates = []tls.Certificate{certificate}
	return config, nil
}
