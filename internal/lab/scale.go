package lab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"linenloom/internal/resp"
	"linenloom/internal/standin"
)

// scaleKeys is how many keys the clients of the scale scenario read, and every box holds.
const scaleKeys = 5000

// quickReader reads tiles over RESP2 at little cost, and checks that each is the one that was asked for.
type quickReader struct {
	conn net.Conn
	in   *bufio.Reader
	out  []byte
	want []byte
}

var errWrongValue = errors.New("lab: a client was served another key's value")

func (r *quickReader) read(key int) error {
	r.out = appendRead(r.out[:0], key, "c=tile-read,t=acme,d=3000")
	r.conn.SetDeadline(time.Now().Add(patience))
	if _, err := r.conn.Write(r.out); err != nil {
		return err
	}
	r.want = appendStart(r.want[:0], key)
	return takeTile(r.in, r.want)
}

// appendRead appends the command that reads the tile of a key, under an id of its own.
func appendRead(b []byte, key int, attrs string) []byte {
	var text [20]byte
	b = resp.AppendArray(b, 4)
	b = resp.AppendBulk(b, "OBJ.GET")
	b = resp.AppendBulk(b, strconv.AppendInt(append(text[:0], 'k'), int64(key), 10))
	b = resp.AppendBulk(b, strconv.AppendUint(text[:0], ids.Add(1), 16))
	return resp.AppendBulk(b, attrs)
}

// appendStart appends what the tile of a key begins with.
func appendStart(b []byte, key int) []byte {
	return append(strconv.AppendInt(append(b, "value of k"...), int64(key), 10), ' ')
}

// takeTile reads an answer, which has to be a tile that begins as is wanted; errRefused, if it is a refusal.
func takeTile(in *bufio.Reader, want []byte) error {
	line, err := in.ReadSlice('\n')
	switch {
	case err != nil:
		return err
	case bytes.HasPrefix(line, []byte("-BUSY")):
		return errRefused
	case line[0] != '$':
		return fmt.Errorf("lab: answered %q", line)
	}
	n, err := strconv.Atoi(string(bytes.TrimSpace(line[1:])))
	if err != nil || n < 0 {
		return fmt.Errorf("lab: answered %q", line)
	}
	got, err := in.Peek(len(want))
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		return fmt.Errorf("%w: %q for %q", errWrongValue, got, want)
	}
	_, err = in.Discard(n + 2)
	return err
}

func quickReads(addr string) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		r := &quickReader{conn: conn, in: bufio.NewReaderSize(conn, 4096)}
		return func(i int) error { return r.read((w*7919 + i) % scaleKeys) }, func() { conn.Close() }, nil
	}
}

// proxy starts linenloom before a fleet, on one core, and tells where it listens.
func (e *Env) proxy(name string, fleet *standin.Fleet, memoryMB, sockets int, args ...string) (addr string, p *Process, err error) {
	if addr, err = standin.FreeAddr(); err != nil {
		return "", nil, err
	}
	config, err := fleet.Config(name, addr, "8c1f30d27a5be964", memoryMB, sockets)
	if err != nil {
		return "", nil, err
	}
	path, err := e.write(name+".json", config)
	if err != nil {
		return "", nil, err
	}
	p, err = Start("msg=ready", []string{"LB_CONFIG=" + path, "LB_LISTEN=" + addr}, e.Bin+"/linenloom", args...)
	return addr, p, err
}

// Scale is the scenario of many clients before a healthy fleet: how much is served and refused as they grow, and what a
// read costs against a relay that copies bytes.
func Scale(_ context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "scale"}
	fleet, err := loadedFleet(8, 2048, scaleKeys)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	addr, p, err := e.proxy("scale", fleet, 192, 4096)
	if err != nil {
		return r, err
	}
	defer p.Kill()
	relayAddr, err := standin.FreeAddr()
	if err != nil {
		return r, err
	}
	relay, err := Start("ready", []string{ServeVariable + "=relay " + relayAddr + " " + fleet.Caches[0].Addr()}, e.Self)
	if err != nil {
		return r, err
	}
	defer relay.Kill()

	d := time.Duration(e.Seconds) * time.Second / 10
	rates := map[int]Rate{}
	best := 0.0
	for _, clients := range []int{8, 32, 100, 200, 300, 1000} {
		e.Log("scale: %d clients", clients)
		rate, err := loop(p, clients, d, quickReads(addr))
		if err != nil {
			return r, fmt.Errorf("%d clients: %w", clients, err)
		}
		rates[clients] = rate
		if clients <= 300 {
			best = max(best, rate.PerSecond())
		}
		name := strconv.Itoa(clients) + " clients: "
		r.Tell(name+"served a second", rate.PerSecond())
		r.Equal(name+"refused", float64(rate.Refused), 0)
		r.AtMost(name+"p99, ms", float64(rate.Quantile(0.99))/float64(time.Millisecond), 800)
		r.Tell(name+"CPU us a served read", 1e6/rate.PerCPU())
		kb, err := p.Resident()
		if err != nil {
			return r, err
		}
		r.Tell(name+"resident MB", float64(kb)/1024)
	}
	r.AtLeast("300 clients: served, of the best up to there", rates[300].PerSecond()/best, 0.9)
	for _, clients := range []int{8, 32, 200, 300, 1000} {
		if err := e.freshStart(r, fleet, clients, d); err != nil {
			return r, fmt.Errorf("fresh start, %d clients: %w", clients, err)
		}
	}
	if err := e.newClients(r, fleet); err != nil {
		return r, fmt.Errorf("ever new clients: %w", err)
	}
	byRelay, err := loop(relay, 8, d, readBox(relayAddr, keysInLoad))
	if err != nil {
		return r, err
	}
	r.Tell("relay: CPU us a read", 1e6/byRelay.PerCPU())
	r.AtMost("CPU a read at 32 clients, against the relay's", byRelay.PerCPU()/rates[32].PerCPU(), 1.5)
	return r, nil
}

// newClients has clients come anew for every read, for three times as long as the longest part goes on, and tells whether the
// proxy's memory grows with them: what it has at the end, of what it had after a third.
func (e *Env) newClients(r *Report, fleet *standin.Fleet) error {
	const clients = 100
	e.Log("scale: %d clients, each on a new connection for every read", clients)
	addr, p, err := e.proxy("new", fleet, 192, 4096)
	if err != nil {
		return err
	}
	defer p.Kill()
	anew := func(w int) (func(int) error, func(), error) {
		return func(i int) error {
			one, done, err := quickReads(addr)(w)
			if err != nil {
				return err
			}
			defer done()
			return one(i)
		}, func() {}, nil
	}
	var all Rate
	var early, late int
	for part := range 3 {
		rate, err := loop(p, clients, time.Duration(e.Seconds)*time.Second, anew)
		if err != nil {
			return err
		}
		all.add(rate)
		if late, err = p.Resident(); err != nil {
			return err
		}
		if part == 0 {
			early = late
		}
	}
	r.Tell("ever new clients: served a second", all.PerSecond())
	r.Equal("ever new clients: refused", float64(all.Refused), 0)
	r.Tell("ever new clients: resident MB at the end", float64(late)/1024)
	r.AtMost("ever new clients: resident at the end, of that after a third", float64(late)/float64(early), 1.1)
	return nil
}

// freshStart has clients come all at once a second after a proxy has started, when it knows nothing of its members yet.
func (e *Env) freshStart(r *Report, fleet *standin.Fleet, clients int, d time.Duration) error {
	e.Log("scale: %d clients at once, a second after the start", clients)
	addr, p, err := e.proxy(fmt.Sprint("fresh-", clients), fleet, 192, 4096)
	if err != nil {
		return err
	}
	defer p.Kill()
	time.Sleep(time.Second)
	rate, err := loop(p, clients, d, quickReads(addr))
	if err != nil {
		return err
	}
	if err := p.Stop(); err != nil {
		return err
	}
	what := fmt.Sprintf("fresh start, %d clients: ", clients)
	r.Tell(what+"served a second", rate.PerSecond())
	r.Equal(what+"refused", float64(rate.Refused), 0)
	r.Tell(what+"CPU us a served read", 1e6/rate.PerCPU())
	for _, why := range p.Reasons() {
		e.Log("  %s", why)
	}
	return nil
}
