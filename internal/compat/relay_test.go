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

// frame is a message as it travels.
type frame struct{ payload []byte }

// rawCodec passes messages on without looking into them.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return v.(*frame).payload, nil }

func (rawCodec) Unmarshal(data []byte, v any) error {
	v.(*frame).payload = append([]byte(nil), data...)
	return nil
}

func (rawCodec) Name() string { return "proto" }

// recorder keeps one message of each method, direction and shape.
type recorder struct {
	seen     chan map[string]bool
	messages []Message
}

func newRecorder() *recorder {
	r := &recorder{seen: make(chan map[string]bool, 1)}
	r.seen <- map[string]bool{}
	return r
}

func (r *recorder) add(method string, d Direction, payload []byte) {
	shape := method + " " + string(d)
	if m := NewMessage(method, d); m != nil && proto.Unmarshal(payload, m) == nil {
		shape += " " + strings.Join(Populated(m.ProtoReflect()), " ")
	}
	seen := <-r.seen
	defer func() { r.seen <- seen }()
	if !seen[shape] {
		seen[shape] = true
		r.messages = append(r.messages, Message{method, d, payload})
	}
}

// take returns what was recorded so far.
func (r *recorder) take() []Message {
	seen := <-r.seen
	defer func() { r.seen <- seen }()
	return r.messages
}

// relay passes what controllers send to one of them on to it, and records it.
type relay struct {
	to       *grpc.ClientConn
	recorder *recorder
}

// startRelay passes on what comes to the listener until the test ends.
func startRelay(t *testing.T, l net.Listener, to string, rec *recorder) {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{to: conn, recorder: rec}
	server := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(r.handle))
	go server.Serve(l)
	t.Cleanup(func() {
		server.Stop()
		conn.Close()
	})
}

func (r *relay) handle(_ any, in grpc.ServerStream) error {
	method, _ := grpc.MethodFromServerStream(in)
	ctx, cancel := context.WithCancel(in.Context())
	defer cancel()
	out, err := r.to.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
	if err != nil {
		return err
	}
	go func() {
		for {
			var f frame
			if in.RecvMsg(&f) != nil {
				out.CloseSend()
				return
			}
			r.recorder.add(method, Request, f.payload)
			if out.SendMsg(&f) != nil {
				return
			}
		}
	}()
	for {
		var f frame
		if err := out.RecvMsg(&f); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		r.recorder.add(method, Reply, f.payload)
		if err := in.SendMsg(&f); err != nil {
			return err
		}
	}
}
