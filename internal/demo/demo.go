// Package demo shows newcomers what the proxy does: it starts a proxy in front of a fleet of simulated
// servers in the same process, sends traffic, lets caches drain, stall and be replaced by cold ones, and
// prints the outcomes of the requests second by second. It takes no part in serving.
package demo

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"linenloom/internal/app"
	"linenloom/internal/proxy"
	"linenloom/internal/reasons"
	"linenloom/internal/resp"
	"linenloom/internal/standin"
)

const (
	cacheCount    = 6
	keyCount      = 400
	valueSize     = 2 << 10
	latencyTarget = 800 * time.Millisecond
	deadline      = 3 * time.Second
)

// outcomeCounts holds the numbers of requests sent and of their outcomes within one second.
type outcomeCounts struct{ asked, served, refused, late, failed atomic.Int64 }

// Run runs the demo command and returns its exit status.
func Run(args []string) int {
	flags := flag.NewFlagSet("linenloom demo", flag.ContinueOnError)
	clients := flags.Int("clients", 12, "number of clients, each with its own connection")
	seconds := flags.Int("seconds", 0, "seconds to run; 0: until Ctrl-C")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil || flags.NArg() > 0 || *clients < 1 || *clients > 200 || *seconds < 0:
		fmt.Fprintln(os.Stderr, "linenloom demo: -clients must be from 1 to 200 and -seconds not negative; no other arguments are allowed")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if *seconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(*seconds)*time.Second)
		defer cancel()
	}
	if err := runDemo(ctx, os.Stdout, *clients); err != nil {
		fmt.Fprintln(os.Stderr, "linenloom demo:", err)
		return 1
	}
	return 0
}

func runDemo(ctx context.Context, out io.Writer, clients int) error {
	fleet, err := standin.NewFleet(cacheCount, valueSize)
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, cache := range fleet.Caches {
		cache.SetService(2*time.Millisecond, 16)
	}
	fleet.Origin.SetService(60*time.Millisecond, 12)
	text, err := fleet.Config("demo", "127.0.0.1:0", "1", 128, 1024)
	if err != nil {
		return err
	}
	config, err := app.ProxyConfig(text)
	if err != nil {
		return err
	}
	lbProxy, err := proxy.New(config, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	serving, drain := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- lbProxy.Run(serving) }()

	fmt.Fprintf(out, "a proxy on %s, %d caches, one slow origin, %d clients; press Ctrl-C to end\n", lbProxy.Addr(), cacheCount, clients)
	fmt.Fprintln(out, "second   asked  served refused    late  failed   fetched  event, and the most frequent reason for refusals or failures")
	var requests outcomeCounts
	var group sync.WaitGroup
	trafficContext, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	for c := range clients {
		group.Go(func() { runClient(trafficContext, lbProxy.Addr().String(), c, &requests) })
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	fetchedBefore := 0
	var previous *reasons.Counts
	for second := 1; ctx.Err() == nil; second++ {
		select {
		case <-ctx.Done():
			continue
		case <-tick.C:
		}
		fetches := fleet.Origin.Fetches()
		remark := applyEvent(fleet, second)
		reasonCounts := lbProxy.Reasons()
		if mostFrequent := mostFrequentReason(reasonCounts.Since(previous)); mostFrequent != "" {
			remark = strings.TrimPrefix(remark+"; "+mostFrequent, "; ")
		}
		previous = reasonCounts
		fmt.Fprintf(out, "%6d %7d %7d %7d %7d %7d %9d  %s\n", second, requests.asked.Swap(0), requests.served.Swap(0), requests.refused.Swap(0),
			requests.late.Swap(0), requests.failed.Swap(0), fetches-fetchedBefore, remark)
		fetchedBefore = fetches
	}
	fmt.Fprintln(out, "\ndraining: accepted requests are answered, then the proxy stops")
	endTraffic()
	group.Wait()
	drain()
	if err := <-done; err != nil {
		return err
	}
	fmt.Fprintln(out, "\nwhy requests waited, were refused or failed:")
	if err := lbProxy.Reasons().Print(out); err != nil {
		return err
	}
	fmt.Fprintln(out, "\nended")
	return nil
}

// mostFrequentReason returns the most frequent reason for which requests were refused or failed.
func mostFrequentReason(c *reasons.Counts) string {
	var mostFrequent reasons.Row
	for _, r := range c.Rows() {
		if r.Outcome != reasons.Waited && r.Count > mostFrequent.Count {
			mostFrequent = r
		}
	}
	if mostFrequent.Count == 0 {
		return ""
	}
	return fmt.Sprintf("%s %s: %s %d", mostFrequent.Class, mostFrequent.Outcome, reasons.Name(mostFrequent.Reason), mostFrequent.Count)
}

// applyEvent applies the event of the given second, in cycles of 20 seconds, and returns its description.
func applyEvent(fleet *standin.Fleet, second int) string {
	round := second / 20
	switch second % 20 {
	case 4:
		fleet.Caches[0].SetFault(standin.Stall)
		return fleet.Caches[0].ID + " stalls: it accepts requests and never answers"
	case 8:
		fleet.Caches[0].SetFault(standin.Healthy)
		return fleet.Caches[0].ID + " answers again"
	case 11:
		fleet.Drain(fleet.Caches[1])
		return fleet.Caches[1].ID + " drains: it gets no new requests"
	case 13:
		removed := fleet.Caches[1]
		fleet.Caches = append(fleet.Caches[:1], fleet.Caches[2:]...)
		fleet.Remove(removed)
		replacement, err := fleet.AddCache(fmt.Sprintf("s-%d", cacheCount+1+round), time.Now())
		if err != nil {
			return err.Error()
		}
		replacement.SetService(2*time.Millisecond, 16)
		return fmt.Sprintf("%s is removed; %s replaces it, cold and empty", removed.ID, replacement.ID)
	case 17:
		fleet.Origin.SetService(400*time.Millisecond, 12)
		return "the origin slows down"
	case 19:
		fleet.Origin.SetService(60*time.Millisecond, 12)
		return "the origin answers at its usual speed again"
	}
	return ""
}

// runClient reads one key after another (class tile-read) and sends an order (class pass-order) as every 40th
// request.
func runClient(ctx context.Context, addr string, index int, requests *outcomeCounts) {
	rng := rand.New(rand.NewPCG(1, uint64(index)))
	keyPopularity := rand.NewZipf(rng, 1.1, 4, keyCount-1)
	var conn net.Conn
	var in *bufio.Reader
	for i := 0; ctx.Err() == nil; i++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil {
				return
			}
			in = bufio.NewReader(conn)
		}
		id, key := fmt.Sprintf("%x-%x", index, i), fmt.Sprint("k", keyPopularity.Uint64())
		words := []string{"OBJ.GET", key, id, fmt.Sprintf("c=tile-read,d=%d", deadline.Milliseconds())}
		if i%40 == 39 {
			words = []string{"OBJ.SET", "pass-" + id, id, fmt.Sprintf("c=pass-order,d=%d", deadline.Milliseconds()), "one pass"}
		}
		command := resp.AppendArray(nil, len(words))
		for _, w := range words {
			command = resp.AppendBulk(command, w)
		}
		requests.asked.Add(1)
		sentAt := time.Now()
		conn.SetDeadline(sentAt.Add(deadline))
		conn.Write(command)
		line, err := readAnswer(in)
		switch {
		case err != nil || strings.HasPrefix(line, "-ERR"):
			requests.failed.Add(1)
		case strings.HasPrefix(line, "-BUSY"):
			requests.refused.Add(1)
		case time.Since(sentAt) > latencyTarget:
			requests.late.Add(1)
		default:
			requests.served.Add(1)
		}
		if err != nil {
			conn.Close()
			conn = nil
		}
		select {
		case <-time.After(time.Duration(10+rng.IntN(20)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// readAnswer reads a full answer and returns its first line.
func readAnswer(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	var size int
	if k, _ := fmt.Sscanf(line, "$%d", &size); k == 1 && size >= 0 {
		_, err = in.Discard(size + 2)
	}
	return line, err
}
