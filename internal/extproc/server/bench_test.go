package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/standin"
)

// scriptedStream is the caller's side of a stream without gRPC: it sends the given requests and drops the
// responses.
type scriptedStream struct {
	grpc.ServerStream
	ctx      context.Context
	requests []*extprocv3.ProcessingRequest
	readNext chan struct{} // signals that the next request may be read
}

func (s *scriptedStream) Context() context.Context { return s.ctx }

func (s *scriptedStream) Recv() (*extprocv3.ProcessingRequest, error) {
	<-s.readNext
	if len(s.requests) == 0 {
		return nil, io.EOF
	}
	m := s.requests[0]
	s.requests = s.requests[1:]
	return m, nil
}

func (s *scriptedStream) SendHeader(metadata.MD) error { return nil }

func (s *scriptedStream) Send(*extprocv3.ProcessingResponse) error {
	s.readNext <- struct{}{}
	return nil
}

// BenchmarkRoute measures a call in route mode without gRPC: the front end, the host and the routing
// module.
func BenchmarkRoute(b *testing.B) {
	fleet, err := standin.NewFleet(8, 64)
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	p, err := proxy.New(hostConfig(b, fleet), slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	op, err := operator.Parse("bench", []byte(operatorFile("route", "")))
	if err != nil {
		b.Fatal(err)
	}
	f, err := New(p, op, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	p.AddFront(f)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	defer func() { stop(); <-done }()
	for p.Load().Ready < 9 {
		time.Sleep(time.Millisecond)
	}
	config := &extprocv3.ProtocolConfiguration{}
	response := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: headerMap(":status", "200", "x-cache", "hit")}}}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s := &scriptedStream{ctx: context.Background(), readNext: make(chan struct{}, 2)}
		s.requests = []*extprocv3.ProcessingRequest{{ProtocolConfig: config, Request: &extprocv3.ProcessingRequest_RequestHeaders{
			RequestHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: headerMap(":method", "GET",
				":path", "/tiles/k", "x-request-id", fmt.Sprint(i), "x-envoy-attempt-count", "1")}}}, response}
		s.readNext <- struct{}{}
		if err := f.Process(s); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	if c := f.Counts(); c.Served != b.N {
		b.Fatalf("%d of %d served", c.Served, b.N)
	}
}
