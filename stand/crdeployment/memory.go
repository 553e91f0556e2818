package crdeployment

import (
	"net/netip"

	"crocusrack/io/crtransport"
	"crocusrack/stand/crloopback"
	"crocusrack/stand/crnet"
)

// Memory returns an in-memory network, for tests on the synctest clock.
func Memory(n *crnet.Network) Network {
	hosts := 0
	return Network{
		AddHost: func(name, domain string) netip.Addr {
			hosts++
			address := netip.AddrFrom4([4]byte{127, 1, byte(hosts >> 8), byte(hosts)})
			n.AddHost(name, domain, address)
			return address
		},
		Listen: n.Listen,
		Dial:   func(from string) crtransport.DialFunc { return n.Dial(from) },
		Kill:   n.Kill,
	}
}

// Loopback returns the machine's loopback network.
func Loopback(n *crloopback.Network) Network {
	return Network{AddHost: n.AddHost, Listen: n.Listen, Dial: n.Dial, Kill: n.Kill}
}
