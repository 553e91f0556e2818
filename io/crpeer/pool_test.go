package crpeer

import (
	"errors"
	"net/netip"
	"testing"

	"crocusrack/io/crtransport"
)

func TestNoConnectionAfterClose(t *testing.T) {
	p := &Pool{Dial: func(Traffic) crtransport.DialFunc { return crtransport.NetDial }}
	p.Close()
	if _, err := p.Client(netip.MustParseAddrPort("10.0.0.1:80"), Control); !errors.Is(err, ErrClosed) {
		t.Errorf("client of a closed pool: %v, want %v", err, ErrClosed)
	}
}
