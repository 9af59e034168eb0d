package fake

import (
	"encoding/json"
	"net/http"
	"testing"

	"leadproxy/internal/transport"
)

// startServer serves h at an address until the test ends or end is called. It returns the address
// that it listens at, whose port may have been chosen by the system.
func startServer(t testing.TB, n transport.Network, addr string, h http.Handler) (listenAddr string, end func()) {
	l, err := n.Listen(t.Context(), addr)
	if err != nil {
		t.Error(err)
		return addr, func() {}
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	end = func() { s.Close() }
	t.Cleanup(end)
	return l.Addr().String(), end
}

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the caller has closed the connection
	}
}
