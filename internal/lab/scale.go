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

// tileKeys is how many keys the clients of the scale scenario read, and every box holds.
const tileKeys = 5000

// tileReader reads tiles over RESP2 at little cost, and checks that each is the one that was asked for.
type tileReader struct {
	conn    net.Conn
	in      *bufio.Reader
	command []byte
	prefix  []byte
}

var errWrongValue = errors.New("lab: a client was served another key's value")

func (r *tileReader) read(key int) error {
	r.command = appendTileRead(r.command[:0], key, "c=tile-read,t=acme,d=3000")
	r.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := r.conn.Write(r.command); err != nil {
		return err
	}
	r.prefix = appendTilePrefix(r.prefix[:0], key)
	return readTile(r.in, r.prefix)
}

// appendTileRead appends the command that reads the tile of a key, under an id of its own.
func appendTileRead(b []byte, key int, attrs string) []byte {
	var text [20]byte
	b = resp.AppendArray(b, 4)
	b = resp.AppendBulk(b, "OBJ.GET")
	b = resp.AppendBulk(b, strconv.AppendInt(append(text[:0], 'k'), int64(key), 10))
	b = resp.AppendBulk(b, strconv.AppendUint(text[:0], lastRequestID.Add(1), 16))
	return resp.AppendBulk(b, attrs)
}

// appendTilePrefix appends what the tile of a key begins with.
func appendTilePrefix(b []byte, key int) []byte {
	return append(strconv.AppendInt(append(b, "value of k"...), int64(key), 10), ' ')
}

// readTile reads an answer, which has to be a tile that begins as is wanted; errRefused, if it is a refusal.
func readTile(in *bufio.Reader, want []byte) error {
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

func newTileWorker(addr string) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		r := &tileReader{conn: conn, in: bufio.NewReaderSize(conn, 4096)}
		return func(i int) error { return r.read((w*7919 + i) % tileKeys) }, func() { conn.Close() }, nil
	}
}

// startProxy starts linenloom before a fleet, on one core, and tells where it listens.
func (e *Env) startProxy(name string, fleet *standin.Fleet, memoryMB, sockets int, args ...string) (addr string, p *Process, err error) {
	if addr, err = standin.FreeAddr(); err != nil {
		return "", nil, err
	}
	config, err := fleet.Config(name, addr, "8c1f30d27a5be964", memoryMB, sockets)
	if err != nil {
		return "", nil, err
	}
	path, err := e.writeFile(name+".json", config)
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
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	addr, p, err := e.startProxy("scale", fleet, 192, 4096)
	if err != nil {
		return r, err
	}
	defer p.Kill()
	relayAddr, err := standin.FreeAddr()
	if err != nil {
		return r, err
	}
	relay, err := Start("ready", []string{ServeVariable + "=relay " + relayAddr + " " + fleet.Boxes[0].Addr()}, e.Executable)
	if err != nil {
		return r, err
	}
	defer relay.Kill()

	d := time.Duration(e.Seconds) * time.Second / 10
	rates := map[int]ClosedLoopResult{}
	best := 0.0
	for _, clients := range []int{8, 32, 100, 200, 300, 1000} {
		e.Log("scale: %d clients", clients)
		rate, err := runClosedLoop(p, clients, d, newTileWorker(addr))
		if err != nil {
			return r, fmt.Errorf("%d clients: %w", clients, err)
		}
		rates[clients] = rate
		if clients <= 300 {
			best = max(best, rate.PerSecond())
		}
		name := strconv.Itoa(clients) + " clients: "
		r.AddValue(name+"served a second", rate.PerSecond())
		r.Equal(name+"refused", float64(rate.Refused), 0)
		r.AtMost(name+"p99, ms", float64(rate.Quantile(0.99))/float64(time.Millisecond), 800)
		r.AddValue(name+"CPU us a served read", 1e6/rate.PerCPU())
		kb, err := p.Resident()
		if err != nil {
			return r, err
		}
		r.AddValue(name+"resident MB", float64(kb)/1024)
	}
	r.AtLeast("300 clients: served, of the best up to there", rates[300].PerSecond()/best, 0.9)
	for _, clients := range []int{8, 32, 200, 300, 1000} {
		if err := e.measureFreshStart(r, fleet, clients, d); err != nil {
			return r, fmt.Errorf("fresh start, %d clients: %w", clients, err)
		}
	}
	if err := e.measureNewConnections(r, fleet); err != nil {
		return r, fmt.Errorf("ever new clients: %w", err)
	}
	byRelay, err := runClosedLoop(relay, 8, d, newCacheWorker(relayAddr, loadKeys))
	if err != nil {
		return r, err
	}
	r.AddValue("relay: CPU us a read", 1e6/byRelay.PerCPU())
	r.AtMost("CPU a read at 32 clients, against the relay's", byRelay.PerCPU()/rates[32].PerCPU(), 1.5)
	return r, nil
}

// measureNewConnections has clients come anew for every read, for three times as long as the longest part goes on, and tells whether the
// proxy's memory grows with them: what it has at the end, of what it had after a third.
func (e *Env) measureNewConnections(r *Report, fleet *standin.Fleet) error {
	const clients = 100
	e.Log("scale: %d clients, each on a new connection for every read", clients)
	addr, p, err := e.startProxy("new", fleet, 192, 4096)
	if err != nil {
		return err
	}
	defer p.Kill()
	anew := func(w int) (func(int) error, func(), error) {
		return func(i int) error {
			one, done, err := newTileWorker(addr)(w)
			if err != nil {
				return err
			}
			defer done()
			return one(i)
		}, func() {}, nil
	}
	var all ClosedLoopResult
	var early, late int
	for part := range 3 {
		rate, err := runClosedLoop(p, clients, time.Duration(e.Seconds)*time.Second, anew)
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
	r.AddValue("ever new clients: served a second", all.PerSecond())
	r.Equal("ever new clients: refused", float64(all.Refused), 0)
	r.AddValue("ever new clients: resident MB at the end", float64(late)/1024)
	r.AtMost("ever new clients: resident at the end, of that after a third", float64(late)/float64(early), 1.1)
	return nil
}

// measureFreshStart has clients come all at once a second after a proxy has started, when it knows nothing of its members yet.
func (e *Env) measureFreshStart(r *Report, fleet *standin.Fleet, clients int, d time.Duration) error {
	e.Log("scale: %d clients at once, a second after the start", clients)
	addr, p, err := e.startProxy(fmt.Sprint("fresh-", clients), fleet, 192, 4096)
	if err != nil {
		return err
	}
	defer p.Kill()
	time.Sleep(time.Second)
	rate, err := runClosedLoop(p, clients, d, newTileWorker(addr))
	if err != nil {
		return err
	}
	if err := p.Stop(); err != nil {
		return err
	}
	what := fmt.Sprintf("fresh start, %d clients: ", clients)
	r.AddValue(what+"served a second", rate.PerSecond())
	r.Equal(what+"refused", float64(rate.Refused), 0)
	r.AddValue(what+"CPU us a served read", 1e6/rate.PerCPU())
	for _, why := range p.Reasons() {
		e.Log("  %s", why)
	}
	return nil
}
