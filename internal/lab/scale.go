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

// tileKeys is the number of keys that clients read; every cache holds all of them.
const tileKeys = 5000

// tileReader reads tiles over RESP2 at little cost and checks that each answer is for the requested key.
type tileReader struct {
	conn    net.Conn
	in      *bufio.Reader
	command []byte
	prefix  []byte
}

var errWrongValue = errors.New("lab: a client was served another key's value")

func (reader *tileReader) read(key int) error {
	reader.command = appendTileRead(reader.command[:0], key, "c=tile-read,t=acme,d=3000")
	reader.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := reader.conn.Write(reader.command); err != nil {
		return err
	}
	reader.prefix = appendTilePrefix(reader.prefix[:0], key)
	return readTile(reader.in, reader.prefix)
}

// appendTileRead appends the command that reads the tile of a key, with a new request id.
func appendTileRead(command []byte, key int, attrs string) []byte {
	var digits [20]byte
	command = resp.AppendArray(command, 4)
	command = resp.AppendBulk(command, "OBJ.GET")
	command = resp.AppendBulk(command, strconv.AppendInt(append(digits[:0], 'k'), int64(key), 10))
	command = resp.AppendBulk(command, strconv.AppendUint(digits[:0], lastRequestID.Add(1), 16))
	return resp.AppendBulk(command, attrs)
}

// appendTilePrefix appends the start of a key's tile.
func appendTilePrefix(prefix []byte, key int) []byte {
	return append(strconv.AppendInt(append(prefix, "value of k"...), int64(key), 10), ' ')
}

// readTile reads an answer, which must be a tile that starts with wantPrefix. It returns errRefused for a
// refusal.
func readTile(in *bufio.Reader, wantPrefix []byte) error {
	line, err := in.ReadSlice('\n')
	switch {
	case err != nil:
		return err
	case bytes.HasPrefix(line, []byte("-BUSY")):
		return errRefused
	case line[0] != '$':
		return fmt.Errorf("lab: unexpected answer %q", line)
	}
	length, err := strconv.Atoi(string(bytes.TrimSpace(line[1:])))
	if err != nil || length < 0 {
		return fmt.Errorf("lab: invalid value length %q", line)
	}
	prefix, err := in.Peek(len(wantPrefix))
	if err != nil {
		return err
	}
	if !bytes.Equal(prefix, wantPrefix) {
		return fmt.Errorf("%w: got %q, want %q", errWrongValue, prefix, wantPrefix)
	}
	_, err = in.Discard(length + 2)
	return err
}

func newTileWorker(addr string) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		reader := &tileReader{conn: conn, in: bufio.NewReaderSize(conn, 4096)}
		return func(i int) error { return reader.read((w*7919 + i) % tileKeys) }, func() { conn.Close() }, nil
	}
}

// startProxy starts linenloom in front of a fleet and returns the address that it listens on.
func (e *Env) startProxy(name string, fleet *standin.Fleet, memoryMB, descriptors int, args ...string) (addr string, process *Process, err error) {
	if addr, err = standin.FreeAddr(); err != nil {
		return "", nil, err
	}
	config, err := fleet.Config(name, addr, "8c1f30d27a5be964", memoryMB, descriptors)
	if err != nil {
		return "", nil, err
	}
	path, err := e.writeFile(name+".json", config)
	if err != nil {
		return "", nil, err
	}
	process, err = Start("msg=ready", []string{"LB_CONFIG=" + path, "LB_LISTEN=" + addr}, e.program(), args...)
	return addr, process, err
}

// Scale runs the scenario of many clients in front of a healthy fleet: how many reads are served and refused
// as the number of clients grows, and the cost of a read compared with a relay that copies bytes.
func Scale(_ context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "scale"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	addr, process, err := env.startProxy("scale", fleet, 192, 4096)
	if err != nil {
		return report, err
	}
	defer process.Kill()
	relayAddr, err := standin.FreeAddr()
	if err != nil {
		return report, err
	}
	relay, err := Start("ready", []string{ServeVariable + "=relay " + relayAddr + " " + fleet.Caches[0].Addr()}, env.Executable)
	if err != nil {
		return report, err
	}
	defer relay.Kill()

	duration := time.Duration(env.Seconds) * time.Second / 10
	results := map[int]ClosedLoopResult{}
	bestRate := 0.0
	for _, clients := range []int{8, 32, 100, 200, 300, 1000} {
		env.Log("scale: %d clients", clients)
		result, err := runClosedLoop(process, clients, duration, newTileWorker(addr))
		if err != nil {
			return report, fmt.Errorf("%d clients: %w", clients, err)
		}
		results[clients] = result
		if clients <= 300 {
			bestRate = max(bestRate, result.PerSecond())
		}
		name := strconv.Itoa(clients) + " clients: "
		report.AddValue(name+"served a second", result.PerSecond())
		report.Equal(name+"refused", float64(result.Refused), 0)
		report.AtMost(name+"p99, ms", float64(result.Quantile(0.99))/float64(time.Millisecond), 800)
		report.AddValue(name+"CPU us a served read", 1e6/result.PerCPU())
		kb, err := process.Resident()
		if err != nil {
			return report, err
		}
		report.AddValue(name+"resident MB", float64(kb)/1024)
	}
	report.AtLeast("300 clients: served, of the best up to there", results[300].PerSecond()/bestRate, 0.9)
	for _, clients := range []int{8, 32, 200, 300, 1000} {
		if err := env.measureFreshStart(report, fleet, clients, duration); err != nil {
			return report, fmt.Errorf("fresh start, %d clients: %w", clients, err)
		}
	}
	if err := env.measureNewConnections(report, fleet); err != nil {
		return report, fmt.Errorf("a new connection for each read: %w", err)
	}
	relayResult, err := runClosedLoop(relay, 8, duration, newCacheWorker(relayAddr, loadKeys))
	if err != nil {
		return report, err
	}
	report.AddValue("relay: CPU us a read", 1e6/relayResult.PerCPU())
	report.AtMost("CPU a read at 32 clients, against the relay's", relayResult.PerCPU()/results[32].PerCPU(), 1.5)
	return report, nil
}

// measureNewConnections opens a new connection for every read, for three times the scenario's duration, and
// checks whether the proxy's memory grows: its size at the end compared with that after a third.
func (e *Env) measureNewConnections(report *Report, fleet *standin.Fleet) error {
	const clients = 100
	e.Log("scale: %d clients, each on a new connection for every read", clients)
	addr, process, err := e.startProxy("new", fleet, 192, 4096)
	if err != nil {
		return err
	}
	defer process.Kill()
	newWorker := func(w int) (func(int) error, func(), error) {
		return func(i int) error {
			read, closeConn, err := newTileWorker(addr)(w)
			if err != nil {
				return err
			}
			defer closeConn()
			return read(i)
		}, func() {}, nil
	}
	var total ClosedLoopResult
	var firstResident, lastResident int
	for part := range 3 {
		result, err := runClosedLoop(process, clients, time.Duration(e.Seconds)*time.Second, newWorker)
		if err != nil {
			return err
		}
		total.add(result)
		if lastResident, err = process.Resident(); err != nil {
			return err
		}
		if part == 0 {
			firstResident = lastResident
		}
	}
	report.AddValue("ever new clients: served a second", total.PerSecond())
	report.Equal("ever new clients: refused", float64(total.Refused), 0)
	report.AddValue("ever new clients: resident MB at the end", float64(lastResident)/1024)
	report.AtMost("ever new clients: resident at the end, of that after a third", float64(lastResident)/float64(firstResident), 1.1)
	return nil
}

// measureFreshStart starts many clients at once, a second after the start of a proxy that has no statistics
// of its members yet.
func (e *Env) measureFreshStart(report *Report, fleet *standin.Fleet, clients int, duration time.Duration) error {
	e.Log("scale: %d clients at once, a second after the start", clients)
	addr, process, err := e.startProxy(fmt.Sprint("fresh-", clients), fleet, 192, 4096)
	if err != nil {
		return err
	}
	defer process.Kill()
	time.Sleep(time.Second)
	result, err := runClosedLoop(process, clients, duration, newTileWorker(addr))
	if err != nil {
		return err
	}
	if err := process.Stop(); err != nil {
		return err
	}
	prefix := fmt.Sprintf("fresh start, %d clients: ", clients)
	report.AddValue(prefix+"served a second", result.PerSecond())
	report.Equal(prefix+"refused", float64(result.Refused), 0)
	report.AddValue(prefix+"CPU us a served read", 1e6/result.PerCPU())
	for _, reason := range process.Reasons() {
		e.Log("  %s", reason)
	}
	return nil
}
