package fake

import (
	"encoding/json"
	"net/http"
	"testing"

	"leadproxy/internal/transport"
)

// startServer serves h at an address until the test ends or closeServer is called. It returns the
// address on which it listens: with port 0 in addr, the system chooses the port.
func startServer(t testing.TB, network transport.Network, addr string, h http.Handler) (listenAddr string, closeServer func()) {
	listener, err := network.Listen(t.Context(), addr)
	if err != nil {
		t.Error(err)
		return addr, func() {}
	}
	server := &http.Server{Handler: h}
	go server.Serve(listener)
	closeServer = func() { server.Close() }
	t.Cleanup(closeServer)
	return listener.Addr().String(), closeServer
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the caller has closed the connection
	}
}
