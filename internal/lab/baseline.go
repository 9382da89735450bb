package lab

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc"
)

// Serve serves a baseline, as ServeVariable says, until the process is ended. It uses one core and lets the heap grow
// as the proxy does, so that the two differ in what they do and not in how they are set up.
func Serve(what string) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	words := strings.Fields(what)
	switch {
	case len(words) == 2 && words[0] == "bare":
		return serveBareProcessor(words[1], nil)
	case len(words) == 3 && words[0] == "bareanswer":
		n, err := strconv.Atoi(words[2])
		if err != nil {
			return err
		}
		return serveBareProcessor(words[1], make([]byte, n))
	case len(words) == 3 && words[0] == "relay":
		return serveRelay(words[1], words[2])
	}
	return fmt.Errorf("%s=%q: want \"bare ADDR\", \"bareanswer ADDR BYTES\" or \"relay ADDR TARGET\"", ServeVariable, what)
}

// bareProcessor answers every message with one fixed mutation, or the first with a fixed value, which ends the exchange: the least
// that an external processor can do.
type bareProcessor struct {
	extprocv3.UnimplementedExternalProcessorServer
	value []byte
}

func serveBareProcessor(addr string, value []byte) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := grpc.NewServer(grpc.MaxConcurrentStreams(2048), grpc.NumStreamWorkers(32))
	extprocv3.RegisterExternalProcessorServer(s, bareProcessor{value: value})
	fmt.Fprintln(os.Stderr, "ready", l.Addr())
	return s.Serve(l)
}

func (b bareProcessor) Process(s extprocv3.ExternalProcessor_ProcessServer) error {
	for {
		m, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if b.value != nil {
			return s.Send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
				ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: 200}, Body: b.value}}})
		}
		headers := &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{HeaderMutation: &extprocv3.HeaderMutation{
			SetHeaders: []*corev3.HeaderValueOption{{Header: &corev3.HeaderValue{Key: "x-fixed", RawValue: []byte("127.0.0.1:1")}}}}}}
		r := &extprocv3.ProcessingResponse{}
		if m.GetRequestHeaders() != nil {
			r.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: headers}
		} else {
			r.Response = &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: headers}
		}
		if err := s.Send(r); err != nil {
			return err
		}
	}
}

// serveRelay joins each connection to one of its own to the target, and copies bytes both ways with reads and writes:
// the least that a proxy in this language can do on the same sockets.
func serveRelay(addr, target string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "ready", l.Addr())
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			up, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer up.Close()
			go copyBytes(up, conn)
			copyBytes(conn, up)
		}()
	}
}

// copyBytes hides the connections' own ways of copying, which would leave out reads and writes altogether.
func copyBytes(to, from net.Conn) {
	io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 4096))
}
