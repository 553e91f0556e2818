package crnet

import (
	"net/http"
	"net/netip"

	"crocusrack/io/crtransport"
)

// Serve serves a handler on an address of a host, until the server is closed or
// the host is killed.
func (n *Network) Serve(address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	server := crtransport.Server(handler)
	go server.Serve(l)
	return server, nil
}

// Client returns an HTTP/2 client on the named host. Its idle connections are
// to be closed at the end of a test.
func (n *Network) Client(from string) *http.Client {
	return crtransport.Client(n.Dial(from), nil)
}

// Addresses of the hosts of a Pair.
var (
	CallerAddress = netip.AddrFrom4([4]byte{10, 0, 0, 1})
	ServerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 2}), 80)
)

// Pair is a network with a host "caller" in failure domain noord-a and a host
// "server" in noord-b that serves a handler, for tests of one handler.
type Pair struct {
	Network
	// URL is the base URL of the handler, HTTP a client on the caller.
	URL  string
	HTTP *http.Client

	server *http.Server
}

// Start begins to serve the handler.
func (p *Pair) Start(handler http.Handler) {
	p.AddHost("caller", "noord-a", CallerAddress)
	p.AddHost("server", "noord-b", ServerAddress.Addr())
	server, err := p.Serve(ServerAddress, handler)
	if err != nil {
		panic(err) // The network is new.
	}
	p.server = server
	p.URL = "http://" + ServerAddress.String()
	p.HTTP = p.Client("caller")
}

// Stop ends what Start began.
func (p *Pair) Stop() {
	p.HTTP.CloseIdleConnections()
	p.server.Close()
}
