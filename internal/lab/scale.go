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
	k := strconv.AppendInt([]byte{'k'}, int64(key), 10)
	r.want = append(append(append(r.want[:0], "value of "...), k...), ' ')
	b := resp.AppendArray(r.out[:0], 4)
	b = resp.AppendBulk(b, "OBJ.GET")
	b = resp.AppendBulk(b, k)
	b = resp.AppendBulk(b, strconv.AppendUint(nil, ids.Add(1), 16))
	b = resp.AppendBulk(b, "c=tile-read,t=acme,d=3000")
	r.out = b
	r.conn.SetDeadline(time.Now().Add(patience))
	if _, err := r.conn.Write(b); err != nil {
		return err
	}
	line, err := r.in.ReadSlice('\n')
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
	got, err := r.in.Peek(len(r.want))
	if err != nil {
		return err
	}
	if !bytes.Equal(got, r.want) {
		return fmt.Errorf("%w: %q for %q", errWrongValue, got, r.want)
	}
	_, err = r.in.Discard(n + 2)
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

// proxy starts linenloom before a fleet, on one core.
func (e *Env) proxy(name, listen string, config []byte) (*Process, error) {
	path, err := e.write(name+".json", config)
	if err != nil {
		return nil, err
	}
	return Start("msg=ready", []string{"LB_CONFIG=" + path, "LB_LISTEN=" + listen}, e.Bin+"/linenloom")
}

// Scale is the scenario of many clients before a healthy fleet: how much is served and refused as they grow, and what a
// read costs against a relay that copies bytes.
func Scale(_ context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "scale"}
	fleet, err := loadedFleet(8, 2048)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	keys := make([]string, scaleKeys)
	for i := range keys {
		keys[i] = fmt.Sprint("k", i)
	}
	fleet.Fill(keys...)
	addr, err := freeAddr()
	if err != nil {
		return r, err
	}
	text, err := fleet.Config("scale", addr, "8c1f30d27a5be964", 192, 4096)
	if err != nil {
		return r, err
	}
	p, err := e.proxy("scale", addr, text)
	if err != nil {
		return r, err
	}
	defer p.Kill()
	relayAddr, err := freeAddr()
	if err != nil {
		return r, err
	}
	relay, err := Start("ready", []string{ServeVariable + "=relay " + relayAddr + " " + fleet.Boxes[0].Addr()}, e.Self)
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
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	text, err := fleet.Config("new", addr, "8c1f30d27a5be964", 192, 4096)
	if err != nil {
		return err
	}
	p, err := e.proxy("new", addr, text)
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
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	name := fmt.Sprint("fresh-", clients)
	text, err := fleet.Config(name, addr, "8c1f30d27a5be964", 192, 4096)
	if err != nil {
		return err
	}
	p, err := e.proxy(name, addr, text)
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
