package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// ClosedLoopResult is the result of a closed loop: workers that each send a request once the previous one is
// answered.
type ClosedLoopResult struct {
	Served, Refused int
	Duration        time.Duration
	CPU             time.Duration // of the process under load
	latencies       []time.Duration
}

// PerSecond returns the requests served per second.
func (r ClosedLoopResult) PerSecond() float64 { return float64(r.Served) / r.Duration.Seconds() }

// PerCPU returns the requests served per second of the process's CPU time.
func (r ClosedLoopResult) PerCPU() float64 { return float64(r.Served) / max(r.CPU.Seconds(), 0.001) }

// Quantile returns the latency quantile q of the served requests.
func (r ClosedLoopResult) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(len(r.latencies)-1, int(q*float64(len(r.latencies))))]
}

// add adds the result of another round.
func (r *ClosedLoopResult) add(o ClosedLoopResult) {
	r.Served += o.Served
	r.Refused += o.Refused
	r.Duration += o.Duration
	r.CPU += o.CPU
	r.latencies = append(r.latencies, o.latencies...)
}

// errRefused is returned for a refused request, which does not end the worker.
var errRefused = errors.New("lab: refused")

// runClosedLoop runs a closed loop of the given number of workers. newWorker returns a worker's request
// function and its cleanup.
func runClosedLoop(process *Process, workers int, duration time.Duration, newWorker func(w int) (func(i int) error, func(), error)) (result ClosedLoopResult, err error) {
	before, err := process.CPU()
	if err != nil {
		return result, err
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	var firstError atomic.Pointer[error]
	end := time.Now().Add(duration)
	begun := time.Now()
	for w := range workers {
		sendRequest, done, err := newWorker(w)
		if err != nil {
			return result, err
		}
		group.Go(func() {
			defer done()
			var workerResult ClosedLoopResult
			for i := 0; time.Now().Before(end); i++ {
				sentAt := time.Now()
				err := sendRequest(i)
				switch {
				case err == nil:
					workerResult.Served++
					workerResult.latencies = append(workerResult.latencies, time.Since(sentAt))
				case errors.Is(err, errRefused):
					workerResult.Refused++
				default:
					firstError.CompareAndSwap(nil, &err)
					return
				}
			}
			mu.Lock()
			result.add(workerResult)
			mu.Unlock()
		})
	}
	group.Wait()
	result.Duration = time.Since(begun)
	if f := firstError.Load(); f != nil {
		return result, *f
	}
	after, err := process.CPU()
	result.CPU = after - before
	return result, err
}

// lastRequestID makes request ids unique across workers and rounds.
var lastRequestID atomic.Uint64

// newRESPWorker returns workers that read keys over RESP2, from a proxy or directly from a cache.
func newRESPWorker(addr string, keys int) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		client, err := dialRedis(addr)
		if err != nil {
			return nil, nil, err
		}
		sendRequest := func(i int) error {
			answer, err := client.do("OBJ.GET", fmt.Sprint("k", (w*31+i)%keys), fmt.Sprintf("%x", lastRequestID.Add(1)), "c=tile-read,d=3000")
			switch {
			case err != nil:
				return err
			case len(answer) > 5 && answer[:5] == "-BUSY":
				return errRefused
			case len(answer) < 5 || answer[:5] != "value" && answer[0] != '*':
				return fmt.Errorf("lab: unexpected answer %q", answer)
			}
			return nil
		}
		return sendRequest, func() { client.conn.Close() }, nil
	}
}

// newCacheWorker returns workers that read keys from a cache, directly or through a relay. They read the
// cache's answer, an array, which redisClient does not support.
func newCacheWorker(addr string, keys int) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		client := &redisClient{conn: conn}
		reader := newCacheReader(conn)
		sendRequest := func(i int) error {
			return reader.get(client, fmt.Sprint("k", (w*31+i)%keys), fmt.Sprintf("%x", lastRequestID.Add(1)))
		}
		return sendRequest, func() { conn.Close() }, nil
	}
}

// dialProcessor opens n connections to an external processor.
func dialProcessor(target string, n int) (conns []*grpc.ClientConn, err error) {
	for range n {
		c, err := grpc.NewClient(target, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
	}
	return conns, nil
}

func header(name, value string) *corev3.HeaderValue {
	return &corev3.HeaderValue{Key: name, RawValue: []byte(value)}
}

// newProcessorWorker returns workers that call an external processor as a data plane does: one stream for
// each request, with the request headers and, if withResponse is set, the response headers.
func newProcessorWorker(conns []*grpc.ClientConn, keys int, withResponse bool) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		client := extprocv3.NewExternalProcessorClient(conns[w%len(conns)])
		config := &extprocv3.ProtocolConfiguration{}
		response := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
			ResponseHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
				header(":status", "200"), header("content-type", "application/octet-stream"), header("x-cache", "hit")}}}}}
		sendRequest := func(i int) error {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			stream, err := client.Process(ctx)
			if err != nil {
				return err
			}
			err = stream.Send(&extprocv3.ProcessingRequest{ProtocolConfig: config, Request: &extprocv3.ProcessingRequest_RequestHeaders{
				RequestHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
					header(":method", "GET"), header(":path", fmt.Sprint("/tiles/k", (w*31+i)%keys)), header(":authority", "tiles"),
					header(":scheme", "http"), header("x-request-id", fmt.Sprintf("%x", lastRequestID.Add(1))),
					header("x-envoy-expected-rq-timeout-ms", "3000"), header("x-envoy-attempt-count", "1"),
					header("user-agent", "kiosk/3.1"), header("accept", "*/*")}}}}})
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			message, err := stream.Recv()
			if err != nil {
				return err
			}
			if immediate := message.GetImmediateResponse(); immediate != nil {
				switch immediate.GetStatus().GetCode() {
				case 200:
					return nil
				case 503, 429:
					return errRefused
				}
				return fmt.Errorf("lab: unexpected response %v", immediate)
			}
			if !withResponse {
				return errors.New("lab: no immediate response")
			}
			if err := stream.Send(response); err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			if _, err := stream.Recv(); err != nil {
				return err
			}
			stream.CloseSend()
			if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
				return fmt.Errorf("lab: end of the stream: %w", err)
			}
			return nil
		}
		return sendRequest, func() {}, nil
	}
}
