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

// ClosedLoopResult is what a closed loop of workers got through.
type ClosedLoopResult struct {
	Served, Refused int
	Duration        time.Duration
	CPU             time.Duration // of the process under load
	latencies       []time.Duration
}

// PerSecond is the requests served a second.
func (r ClosedLoopResult) PerSecond() float64 { return float64(r.Served) / r.Duration.Seconds() }

// PerCPU is the requests served per second of the process's processor time.
func (r ClosedLoopResult) PerCPU() float64 { return float64(r.Served) / max(r.CPU.Seconds(), 0.001) }

// Quantile is the latency under which that share of the requests was answered.
func (r ClosedLoopResult) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(len(r.latencies)-1, int(q*float64(len(r.latencies))))]
}

// add joins two rounds.
func (r *ClosedLoopResult) add(o ClosedLoopResult) {
	r.Served += o.Served
	r.Refused += o.Refused
	r.Duration += o.Duration
	r.CPU += o.CPU
	r.latencies = append(r.latencies, o.latencies...)
}

// errRefused tells that a request was refused, which ends no worker.
var errRefused = errors.New("lab: refused")

// runClosedLoop has so many workers make requests, one after another each, for a time. make returns a worker's own request.
func runClosedLoop(p *Process, workers int, d time.Duration, make func(w int) (func(i int) error, func(), error)) (r ClosedLoopResult, err error) {
	before, err := p.CPU()
	if err != nil {
		return r, err
	}
	var mu sync.Mutex
	var g sync.WaitGroup
	var failed atomic.Pointer[error]
	end := time.Now().Add(d)
	begun := time.Now()
	for w := range workers {
		one, done, err := make(w)
		if err != nil {
			return r, err
		}
		g.Go(func() {
			defer done()
			var mine ClosedLoopResult
			for i := 0; time.Now().Before(end); i++ {
				at := time.Now()
				err := one(i)
				switch {
				case err == nil:
					mine.Served++
					mine.latencies = append(mine.latencies, time.Since(at))
				case errors.Is(err, errRefused):
					mine.Refused++
				default:
					failed.CompareAndSwap(nil, &err)
					return
				}
			}
			mu.Lock()
			r.add(mine)
			mu.Unlock()
		})
	}
	g.Wait()
	r.Duration = time.Since(begun)
	if f := failed.Load(); f != nil {
		return r, *f
	}
	after, err := p.CPU()
	r.CPU = after - before
	return r, err
}

// lastRequestID makes request ids that no other worker or round makes.
var lastRequestID atomic.Uint64

// newRESPWorker is a worker that reads keys over RESP2, from a proxy or straight from a box.
func newRESPWorker(addr string, keys int) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		c, err := dialRedis(addr)
		if err != nil {
			return nil, nil, err
		}
		one := func(i int) error {
			answer, err := c.do("OBJ.GET", fmt.Sprint("k", (w*31+i)%keys), fmt.Sprintf("%x", lastRequestID.Add(1)), "c=tile-read,d=3000")
			switch {
			case err != nil:
				return err
			case len(answer) > 5 && answer[:5] == "-BUSY":
				return errRefused
			case len(answer) < 5 || answer[:5] != "value" && answer[0] != '*':
				return fmt.Errorf("lab: answered %q", answer)
			}
			return nil
		}
		return one, func() { c.conn.Close() }, nil
	}
}

// newCacheWorker is a worker that reads keys from a box, straight or through a relay: the relay passes the box's array through, which dialRedis does not read.
func newCacheWorker(addr string, keys int) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		c := &redisClient{conn: conn}
		b := newCacheReader(conn)
		one := func(i int) error {
			return b.get(c, fmt.Sprint("k", (w*31+i)%keys), fmt.Sprintf("%x", lastRequestID.Add(1)))
		}
		return one, func() { conn.Close() }, nil
	}
}

// dialProcessor opens so many connections to an external processor.
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

// newProcessorWorker is a worker that makes calls of an external processor as a caller's data plane does: a stream with the
// request's headers and, where both is set, the response's.
func newProcessorWorker(conns []*grpc.ClientConn, keys int, both bool) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		client := extprocv3.NewExternalProcessorClient(conns[w%len(conns)])
		config := &extprocv3.ProtocolConfiguration{}
		response := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
			ResponseHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
				header(":status", "200"), header("content-type", "application/octet-stream"), header("x-cache", "hit")}}}}}
		one := func(i int) error {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			s, err := client.Process(ctx)
			if err != nil {
				return err
			}
			err = s.Send(&extprocv3.ProcessingRequest{ProtocolConfig: config, Request: &extprocv3.ProcessingRequest_RequestHeaders{
				RequestHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
					header(":method", "GET"), header(":path", fmt.Sprint("/tiles/k", (w*31+i)%keys)), header(":authority", "tiles"),
					header(":scheme", "http"), header("x-request-id", fmt.Sprintf("%x", lastRequestID.Add(1))),
					header("x-envoy-expected-rq-timeout-ms", "3000"), header("x-envoy-attempt-count", "1"),
					header("user-agent", "kiosk/3.1"), header("accept", "*/*")}}}}})
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			m, err := s.Recv()
			if err != nil {
				return err
			}
			if now := m.GetImmediateResponse(); now != nil {
				switch now.GetStatus().GetCode() {
				case 200:
					return nil
				case 503, 429:
					return errRefused
				}
				return fmt.Errorf("lab: answered %v", now)
			}
			if !both {
				return errors.New("lab: no immediate response")
			}
			if err := s.Send(response); err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			if _, err := s.Recv(); err != nil {
				return err
			}
			s.CloseSend()
			if _, err := s.Recv(); !errors.Is(err, io.EOF) {
				return fmt.Errorf("lab: the stream ended with %w", err)
			}
			return nil
		}
		return one, func() {}, nil
	}
}
