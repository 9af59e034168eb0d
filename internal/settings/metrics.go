package settings

import (
	"fmt"
	"net/netip"

	"leadproxy/internal/inifile"
)

// loopbackHost is where the metrics are served if the operators' file names only a port.
const loopbackHost = "127.0.0.1"

// metricsAddress reads the address of the metrics: an IP address and a port, or a port alone, which is
// then bound to the loopback interface.
func metricsAddress(target *string) inifile.KeyReader {
	const want = "a port from 1 to 65535 for the loopback interface, or an IP address and such a port, as in 9464 or 10.0.0.1:9464"
	return inifile.KeyReader{Want: want, Read: func(value string) bool {
		address, err := netip.ParseAddrPort(value)
		if err != nil {
			address, err = netip.ParseAddrPort(loopbackHost + ":" + value)
		}
		if err != nil || address.Port() == 0 {
			return false
		}
		*target = address.String()
		return true
	}}
}

// CheckMetrics returns an ErrConflict if the metrics are to be served on an address of the platform's.
func CheckMetrics(platform *Platform, operator Operator) error {
	for _, address := range []string{platform.PublicAddr, platform.PeerAddr} {
		if operator.MetricsAddress != "" && operator.MetricsAddress == address {
			return fmt.Errorf("%w: [%s] address = %s is an address of the platform's file", ErrConflict, metricsSection, address)
		}
	}
	return nil
}

const metricsSection = "metrics"
