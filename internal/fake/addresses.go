package fake

import (
	"net"
	"sync"
	"testing"
)

// reservedAddresses has the addresses returned so far as keys. Nothing listens on an address until
// its controller starts, so the kernel could assign the same port a second time.
var reservedAddresses sync.Map

// ReserveAddresses returns free loopback addresses, each of them only once per test process. They
// are on 127.7.0.1, because on 127.0.0.1 a fake or an outgoing connection could take the port
// before the controller does.
func ReserveAddresses(t testing.TB, count int) (addresses []string) {
	t.Helper()
	for len(addresses) < count {
		listener, err := net.Listen("tcp", "127.7.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		address := listener.Addr().String()
		if _, taken := reservedAddresses.LoadOrStore(address, true); !taken {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
