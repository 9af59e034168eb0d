package fake

import (
	"net"
	"sync"
	"testing"
)

// reservedAddresses are the addresses that were handed out: nothing listens there until a controller starts,
// and the next search could find the same port.
var reservedAddresses sync.Map

// ReserveAddresses finds free loopback addresses, each once in a test run. They are not on 127.0.0.1, where
// a fake or a connection could take the port before the controller does.
func ReserveAddresses(t testing.TB, n int) (addresses []string) {
	t.Helper()
	for len(addresses) < n {
		l, err := net.Listen("tcp", "127.7.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		address := l.Addr().String()
		if _, taken := reservedAddresses.LoadOrStore(address, true); !taken {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
