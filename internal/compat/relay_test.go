//go:build upgrade

package compat

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
)

// rawFrame is an encoded message.
type rawFrame struct{ payload []byte }

// rawCodec forwards messages without decoding them.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return v.(*rawFrame).payload, nil }

func (rawCodec) Unmarshal(data []byte, v any) error {
	v.(*rawFrame).payload = append([]byte(nil), data...)
	return nil
}

func (rawCodec) Name() string { return "proto" }

// grpcRelay forwards and records the calls that controllers make to one of them.
type grpcRelay struct {
	target   *grpc.ClientConn
	recorder *recorder
}

// startGRPCRelay serves the calls that come to a listener until the test ends.
func startGRPCRelay(t *testing.T, l net.Listener, to string, rec *recorder) {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	r := &grpcRelay{target: conn, recorder: rec}
	server := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(r.handle))
	go server.Serve(l)
	t.Cleanup(func() {
		server.Stop()
		conn.Close()
	})
}

func (r *grpcRelay) handle(_ any, client grpc.ServerStream) error {
	method, _ := grpc.MethodFromServerStream(client)
	ctx, cancel := context.WithCancel(client.Context())
	defer cancel()
	server, err := r.target.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
	if err != nil {
		return err
	}
	go r.forwardRequests(method, client, server)
	for {
		var f rawFrame
		if err := server.RecvMsg(&f); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		r.recorder.record(method, Reply, f.payload)
		if err := client.SendMsg(&f); err != nil {
			return err
		}
	}
}

// forwardRequests records and forwards requests until the client has sent its last one.
func (r *grpcRelay) forwardRequests(method string, client grpc.ServerStream, server grpc.ClientStream) {
	for {
		var f rawFrame
		if client.RecvMsg(&f) != nil {
			server.CloseSend()
			return
		}
		r.recorder.record(method, Request, f.payload)
		if server.SendMsg(&f) != nil {
			return
		}
	}
}

// recorder keeps one message of each method, direction and shape. The channel holds the set of shapes
// and serves as the lock for both fields.
type recorder struct {
	seenShapes chan map[string]bool
	messages   []Message
}

func newRecorder() *recorder {
	r := &recorder{seenShapes: make(chan map[string]bool, 1)}
	r.seenShapes <- map[string]bool{}
	return r
}

func (r *recorder) record(method string, d Direction, payload []byte) {
	shape := method + " " + string(d)
	if m := NewMessage(method, d); m != nil && proto.Unmarshal(payload, m) == nil {
		shape += " " + strings.Join(PopulatedFields(m.ProtoReflect()), " ")
	}
	seen := <-r.seenShapes
	defer func() { r.seenShapes <- seen }()
	if !seen[shape] {
		seen[shape] = true
		r.messages = append(r.messages, Message{method, d, payload})
	}
}

// recorded returns the messages so far.
func (r *recorder) recorded() []Message {
	seen := <-r.seenShapes
	defer func() { r.seenShapes <- seen }()
	return r.messages
}
