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

// Serve runs the baseline that ServeVariable describes until the process ends. It uses one core and the proxy's
// garbage collector setting, so that only the work done per request differs from the proxy.
func Serve(spec string) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	fields := strings.Fields(spec)
	switch {
	case len(fields) == 2 && fields[0] == "bare":
		return serveBareProcessor(fields[1], nil)
	case len(fields) == 3 && fields[0] == "bareanswer":
		n, err := strconv.Atoi(fields[2])
		if err != nil {
			return err
		}
		return serveBareProcessor(fields[1], make([]byte, n))
	case len(fields) == 3 && fields[0] == "relay":
		return serveRelay(fields[1], fields[2])
	}
	return fmt.Errorf("%s=%q: expected \"bare ADDR\", \"bareanswer ADDR BYTES\" or \"relay ADDR TARGET\"", ServeVariable, spec)
}

// bareProcessor is the cheapest possible external processor: it answers every message with one fixed header
// mutation or, if value is set, the first message with that value as immediate response, which ends the
// stream.
type bareProcessor struct {
	extprocv3.UnimplementedExternalProcessorServer
	value []byte
}

func serveBareProcessor(addr string, value []byte) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := grpc.NewServer(grpc.MaxConcurrentStreams(2048), grpc.NumStreamWorkers(32))
	extprocv3.RegisterExternalProcessorServer(server, bareProcessor{value: value})
	fmt.Fprintln(os.Stderr, "ready", listener.Addr())
	return server.Serve(listener)
}

func (b bareProcessor) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if b.value != nil {
			return stream.Send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
				ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: 200}, Body: b.value}}})
		}
		headers := &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{HeaderMutation: &extprocv3.HeaderMutation{
			SetHeaders: []*corev3.HeaderValueOption{{Header: &corev3.HeaderValue{Key: "x-fixed", RawValue: []byte("127.0.0.1:1")}}}}}}
		response := &extprocv3.ProcessingResponse{}
		if message.GetRequestHeaders() != nil {
			response.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: headers}
		} else {
			response.Response = &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: headers}
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}

// serveRelay opens a connection to the target for each accepted one and copies bytes in both directions with
// read and write calls: the cheapest possible proxy in Go on the same sockets.
func serveRelay(addr, target string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "ready", listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer upstream.Close()
			go copyBytes(upstream, conn)
			copyBytes(conn, upstream)
		}()
	}
}

// copyBytes hides the ReadFrom and WriteTo methods of the connections, which would splice in the kernel
// without read and write calls.
func copyBytes(to, from net.Conn) {
	io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 4096))
}
