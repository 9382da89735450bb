// Package demo shows a newcomer what the proxy does: it starts one on an embedded fleet of stand-ins, sends it traffic,
// lets boxes drain, stall and come back cold, and prints second by second what becomes of the requests. It is never part
// of serving.
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
	boxes     = 6
	keys      = 400
	valueSize = 2 << 10
	aim       = 800 * time.Millisecond
	deadline  = 3 * time.Second
)

// counts are what became of the requests of a second.
type counts struct{ asked, served, refused, late, failed atomic.Int64 }

// Run is the command: it returns the exit status.
func Run(args []string) int {
	flags := flag.NewFlagSet("linenloom demo", flag.ContinueOnError)
	clients := flags.Int("clients", 12, "clients, each with a connection of its own")
	seconds := flags.Int("seconds", 0, "end after so many seconds; 0: at Ctrl-C")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil || flags.NArg() > 0 || *clients < 1 || *clients > 200 || *seconds < 0:
		fmt.Fprintln(os.Stderr, "linenloom demo: -clients is from 1 to 200, -seconds not negative, and nothing follows")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if *seconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(*seconds)*time.Second)
		defer cancel()
	}
	if err := play(ctx, os.Stdout, *clients); err != nil {
		fmt.Fprintln(os.Stderr, "linenloom demo:", err)
		return 1
	}
	return 0
}

func play(ctx context.Context, out io.Writer, clients int) error {
	fleet, err := standin.NewFleet(boxes, valueSize)
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, b := range fleet.Caches {
		b.SetService(2*time.Millisecond, 16)
	}
	fleet.Origin.SetService(60*time.Millisecond, 12)
	text, err := fleet.Config("demo", "127.0.0.1:0", "1", 128, 1024)
	if err != nil {
		return err
	}
	cfg, err := app.ProxyConfig(text)
	if err != nil {
		return err
	}
	p, err := proxy.New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	serving, drain := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(serving) }()

	fmt.Fprintf(out, "a proxy on %s, %d boxes, one slow origin, %d clients; Ctrl-C ends it\n", p.Addr(), boxes, clients)
	fmt.Fprintln(out, "second   asked  served refused    late  failed   fetched  what happens, and why most are refused or fail")
	var n counts
	var g sync.WaitGroup
	traffic, end := context.WithCancel(ctx)
	defer end()
	for c := range clients {
		g.Go(func() { client(traffic, p.Addr().String(), c, &n) })
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	fetched := 0
	var told *reasons.Counts
	for second := 1; ctx.Err() == nil; second++ {
		select {
		case <-ctx.Done():
			continue
		case <-tick.C:
		}
		now := fleet.Origin.Fetches()
		event := happen(fleet, second)
		why := p.Reasons()
		if most := mostOf(why.Since(told)); most != "" {
			event = strings.TrimPrefix(event+"; "+most, "; ")
		}
		told = why
		fmt.Fprintf(out, "%6d %7d %7d %7d %7d %7d %9d  %s\n", second, n.asked.Swap(0), n.served.Swap(0), n.refused.Swap(0),
			n.late.Swap(0), n.failed.Swap(0), now-fetched, event)
		fetched = now
	}
	fmt.Fprintln(out, "\ndraining: what was taken is answered, then the proxy ends")
	end()
	g.Wait()
	drain()
	if err := <-done; err != nil {
		return err
	}
	fmt.Fprintln(out, "\nwhy requests waited, were refused or failed:")
	if err := p.Reasons().Print(out); err != nil {
		return err
	}
	fmt.Fprintln(out, "\nended")
	return nil
}

// mostOf names the reason for which most requests were refused or failed.
func mostOf(c *reasons.Counts) string {
	var most reasons.Row
	for _, r := range c.Rows() {
		if r.Outcome != reasons.Waited && r.Count > most.Count {
			most = r
		}
	}
	if most.Count == 0 {
		return ""
	}
	return fmt.Sprintf("%s %s: %s %d", most.Class, most.Outcome, reasons.Name(most.Reason), most.Count)
}

// happen stages the second's event, in rounds of 20 seconds.
func happen(fleet *standin.Fleet, second int) string {
	round := second / 20
	switch second % 20 {
	case 4:
		fleet.Caches[0].SetFault(standin.Stall)
		return fleet.Caches[0].ID + " stalls: it takes requests and never answers"
	case 8:
		fleet.Caches[0].SetFault(standin.Healthy)
		return fleet.Caches[0].ID + " answers again"
	case 11:
		fleet.Drain(fleet.Caches[1])
		return fleet.Caches[1].ID + " drains: it gets nothing new"
	case 13:
		old := fleet.Caches[1]
		fleet.Caches = append(fleet.Caches[:1], fleet.Caches[2:]...)
		fleet.Remove(old)
		b, err := fleet.AddCache(fmt.Sprintf("s-%d", boxes+1+round), time.Now())
		if err != nil {
			return err.Error()
		}
		b.SetService(2*time.Millisecond, 16)
		return fmt.Sprintf("%s has gone; %s takes its place, cold and empty", old.ID, b.ID)
	case 17:
		fleet.Origin.SetService(400*time.Millisecond, 12)
		return "the origin slows down"
	case 19:
		fleet.Origin.SetService(60*time.Millisecond, 12)
		return "the origin is itself again"
	}
	return ""
}

// client asks for one tile after another, and for a pass now and then.
func client(ctx context.Context, addr string, c int, n *counts) {
	rng := rand.New(rand.NewPCG(1, uint64(c)))
	popular := rand.NewZipf(rng, 1.1, 4, keys-1)
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
		id, key := fmt.Sprintf("%x-%x", c, i), fmt.Sprint("k", popular.Uint64())
		words := []string{"OBJ.GET", key, id, fmt.Sprintf("c=tile-read,d=%d", deadline.Milliseconds())}
		if i%40 == 39 {
			words = []string{"OBJ.SET", "pass-" + id, id, fmt.Sprintf("c=pass-order,d=%d", deadline.Milliseconds()), "one pass"}
		}
		b := resp.AppendArray(nil, len(words))
		for _, w := range words {
			b = resp.AppendBulk(b, w)
		}
		n.asked.Add(1)
		begun := time.Now()
		conn.SetDeadline(begun.Add(deadline))
		conn.Write(b)
		line, err := readAnswer(in)
		switch {
		case err != nil || strings.HasPrefix(line, "-ERR"):
			n.failed.Add(1)
		case strings.HasPrefix(line, "-BUSY"):
			n.refused.Add(1)
		case time.Since(begun) > aim:
			n.late.Add(1)
		default:
			n.served.Add(1)
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

// readAnswer reads an answer whole and returns its first line.
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
