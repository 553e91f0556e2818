package crrouter

import (
	"net/netip"
	"testing"

	"go.uber.org/zap"

	"crocusrack/core/crsettings"
)

// TestReloadBeforeStart checks that a SIGHUP that comes before the router has started doesn't
// end the process.
func TestReloadBeforeStart(t *testing.T) {
	r := &Router{Log: zap.NewNop()}
	r.Reload(crsettings.Router{Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:80")}})
}
