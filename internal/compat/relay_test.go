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

// rawFrame is an encoded gRPC message.
type rawFrame struct{ payload []byte }

// rawCodec is a gRPC codec that passes rawFrame messages through without decoding them.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return v.(*rawFrame).payload, nil }

func (rawCodec) Unmarshal(data []byte, v any) error {
	v.(*rawFrame).payload = append([]byte(nil), data...)
	return nil
}

func (rawCodec) Name() string { return "proto" }

// grpcRelay forwards calls of any method to one controller and records their messages.
type grpcRelay struct {
	target   *grpc.ClientConn
	recorder *recorder
}

// startGRPCRelay relays the calls that arrive at the listener to the target address until the test ends.
func startGRPCRelay(t *testing.T, listener net.Listener, target string, rec *recorder) {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+target, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	r := &grpcRelay{target: conn, recorder: rec}
	server := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(r.handle))
	go server.Serve(listener)
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
		var frame rawFrame
		if err := server.RecvMsg(&frame); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		r.recorder.record(method, Reply, frame.payload)
		if err := client.SendMsg(&frame); err != nil {
			return err
		}
	}
}

// forwardRequests records and forwards requests until the client closes its sending side or the stream
// fails.
func (r *grpcRelay) forwardRequests(method string, client grpc.ServerStream, server grpc.ClientStream) {
	for {
		var frame rawFrame
		if client.RecvMsg(&frame) != nil {
			server.CloseSend()
			return
		}
		r.recorder.record(method, Request, frame.payload)
		if server.SendMsg(&frame) != nil {
			return
		}
	}
}

// recorder keeps one message of each method, direction and shape. The channel seenShapes holds the set
// of recorded shapes and also serves as the lock of both fields.
type recorder struct {
	seenShapes chan map[string]bool
	messages   []Message
}

func newRecorder() *recorder {
	r := &recorder{seenShapes: make(chan map[string]bool, 1)}
	r.seenShapes <- map[string]bool{}
	return r
}

// record keeps the message if it is the first of its shape.
func (r *recorder) record(method string, direction Direction, payload []byte) {
	shape := method + " " + string(direction)
	if m := NewMessage(method, direction); m != nil && proto.Unmarshal(payload, m) == nil {
		shape += " " + strings.Join(PopulatedFields(m.ProtoReflect()), " ")
	}
	seen := <-r.seenShapes
	defer func() { r.seenShapes <- seen }()
	if !seen[shape] {
		seen[shape] = true
		r.messages = append(r.messages, Message{method, direction, payload})
	}
}

// recorded returns the messages recorded so far.
func (r *recorder) recorded() []Message {
	seen := <-r.seenShapes
	defer func() { r.seenShapes <- seen }()
	return r.messages
}
