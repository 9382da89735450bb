package lab

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"linenloom/internal/standin"
)

const (
	strayClients     = 24
	strayCaches      = 4
	strayServiceTime = 25 * time.Millisecond // of the origin
	strayEvery       = 10                    // every n-th answer is followed by stray bytes
)

// strayDelays are the delays of stray bytes after an answer that the scenario sweeps.
var strayDelays = []time.Duration{0, 500 * time.Microsecond, 3 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	60 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond}

// Strays runs the scenario of members that send bytes that no request asks for: each form of them, at each
// delay after an answer, from the origin and from caches, before processes that have just started. No client
// may be served another's answer, nothing may run twice, be out twice or be refused although it ran.
func Strays(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "strays"}
	for _, measure := range []func(*Report) error{env.measureHealthyOrigin, env.measureEqualValues, env.measureEarlyRejections, env.measureCostlyFences, env.measureLateOnset} {
		if err := measure(report); err != nil {
			return report, err
		}
	}
	for _, proxies := range []int{1, 6} {
		if err := env.sweepStrays(ctx, report, proxies); err != nil {
			return report, err
		}
	}
	return report, nil
}

func (e *Env) sweepStrays(ctx context.Context, report *Report, proxies int) error {
	for _, member := range []string{"origin", "cache"} {
		forms := standin.OriginStrays
		if member == "cache" {
			forms = standin.CacheStrays
		}
		for _, form := range forms {
			var total standin.AttributionResult
			for _, delay := range strayDelays {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				result, err := e.runStrays(member, standin.Strays{Form: form, Every: strayEvery, Delay: delay}, proxies, nil)
				if err != nil {
					return fmt.Errorf("%s, %s after %v: %w", member, form, delay, err)
				}
				if result.Broken() > 0 {
					e.Log("%s, %s after %v, %d proxies: %v", member, form, delay, proxies, result)
				}
				total.Add(result)
			}
			name := fmt.Sprintf("%d proxies, %s, %s: ", proxies, member, form)
			report.AddValue(name+"served", float64(total.Served))
			report.AddValue(name+"failed", float64(total.Failed))
			report.Equal(name+"served another's", float64(total.ServedAnother), 0)
			report.Equal(name+"ran twice", float64(total.RanTwice), 0)
			report.Equal(name+"two out at once", float64(total.TwoOut), 0)
			report.Equal(name+"refused after it ran", float64(total.RefusedAfterRun), 0)
		}
	}
	return nil
}

// strayFleet starts a fleet whose caches always miss, or have every key, and the proxies in front of it.
func (e *Env) strayFleet(proxies int, hits bool) (fleet *standin.Fleet, addrs []string, closeAll func(), err error) {
	if fleet, err = standin.NewFleet(strayCaches, 64); err != nil {
		return nil, nil, nil, err
	}
	settings := standin.AttributionSettings()
	fleet.Overrides = map[string]any{"classes": settings}
	fleet.Origin.SetService(strayServiceTime, 0)
	if hits {
		for _, cache := range fleet.Caches {
			cache.SetService(2*time.Millisecond, 0)
			cache.SetSource(func(key string) []byte { return standin.Value(key, 64) })
		}
	}
	var processes []*Process
	closeAll = func() {
		for _, process := range processes {
			process.Kill()
		}
		fleet.Close()
	}
	for i := range proxies {
		addr, process, err := e.startProxy(fmt.Sprint("strays-", i), fleet, 96, 1024)
		if err != nil {
			closeAll()
			return nil, nil, nil, err
		}
		processes, addrs = append(processes, process), append(addrs, addr)
	}
	return fleet, addrs, closeAll, nil
}

// runStrays runs clients before fresh processes while a kind of member sends strays.
func (e *Env) runStrays(member string, strays standin.Strays, proxies int, prepare func(*standin.Fleet)) (result standin.AttributionResult, err error) {
	fleet, addrs, closeAll, err := e.strayFleet(proxies, member == "cache")
	if err != nil {
		return result, err
	}
	defer closeAll()
	classes := standin.AttributionClasses
	if member == "cache" {
		classes = classes[:3]
		for _, cache := range fleet.Caches {
			cache.SetStrays(strays)
		}
	} else {
		fleet.Origin.SetStrays(strays)
	}
	if prepare != nil {
		prepare(fleet)
	}
	return standin.NewAttributionChecker(fleet).RunClients(addrs, classes, strayClients, e.strayTime())
}

// strayTime is how long each cell of the sweep lasts.
func (e *Env) strayTime() time.Duration { return time.Duration(e.Seconds) * time.Second / 10 }

// measureCostlyFences runs reads before caches that end the connection with each fence, and sends strays. Reads
// that may be repeated are then not all fenced until a stray is seen, so the figures carry no claim.
func (e *Env) measureCostlyFences(report *Report) error {
	for _, form := range []standin.StrayForm{standin.StrayCopy, standin.StrayOther, standin.StrayBusy, standin.StrayNull} {
		var total standin.AttributionResult
		for _, delay := range strayDelays {
			strays := standin.Strays{Form: form, Every: strayEvery, Delay: delay}
			result, err := e.runStrays("cache", strays, 1, func(fleet *standin.Fleet) {
				for _, cache := range fleet.Caches {
					cache.SetEndAfterSelect(true)
				}
			})
			if err != nil {
				return fmt.Errorf("fences that end connections, %s after %v: %w", form, delay, err)
			}
			total.Add(result)
		}
		e.Log("caches that end connections with fences, %s: %v", form, total)
		name := fmt.Sprintf("caches that end connections with fences, %s: ", form)
		report.AddValue(name+"served", float64(total.Served))
		report.AddValue(name+"broke a rule", float64(total.Broken()))
	}
	return nil
}

// measureLateOnset runs clients for three times the scenario's duration before members begin to send strays, of
// a delay at which most do harm.
func (e *Env) measureLateOnset(report *Report) error {
	const delay, strayPhase = 25 * time.Millisecond, 3 * time.Second
	onset := 3 * time.Duration(e.Seconds) * time.Second
	for _, member := range []string{"origin", "cache"} {
		fleet, addrs, closeAll, err := e.strayFleet(1, member == "cache")
		if err != nil {
			return err
		}
		classes := standin.AttributionClasses
		set := fleet.Origin.SetStrays
		if member == "cache" {
			classes = classes[:3]
			set = func(strays standin.Strays) {
				for _, cache := range fleet.Caches {
					cache.SetStrays(strays)
				}
			}
		}
		for i, form := range []standin.StrayForm{standin.StrayCopy, standin.StrayBusy, standin.StrayOther} {
			time.AfterFunc(onset+time.Duration(i)*strayPhase, func() { set(standin.Strays{Form: form, Every: strayEvery, Delay: delay}) })
		}
		result, err := standin.NewAttributionChecker(fleet).RunClients(addrs, classes, strayClients, onset+3*strayPhase)
		closeAll()
		if err != nil {
			return fmt.Errorf("%s, late onset: %w", member, err)
		}
		e.Log("%s, strays after %v: %v", member, onset, result)
		report.AddValue(member+", late onset: served", float64(result.Served))
		report.Equal(member+", late onset: broke a rule", float64(result.Broken()), 0)
	}
	return nil
}

// measureHealthyOrigin runs misses before a healthy origin: what is served, and the connections that it takes.
func (e *Env) measureHealthyOrigin(report *Report) error {
	fleet, addrs, closeAll, err := e.strayFleet(1, false)
	if err != nil {
		return err
	}
	defer closeAll()
	duration := 4 * e.strayTime()
	result, err := standin.NewAttributionChecker(fleet).RunClients(addrs, standin.AttributionClasses, strayClients, duration)
	if err != nil {
		return err
	}
	e.Log("healthy origin: %v in %v; %d connections made, %d at rest", result, duration, fleet.Origin.Accepted(), fleet.Origin.Open())
	report.AddValue("healthy origin: served a second", float64(result.Served)/duration.Seconds())
	report.AddValue("healthy origin: connections made for each request", float64(fleet.Origin.Accepted())/float64(max(1, result.Served)))
	report.AtMost("healthy origin: connections at rest, for each client", float64(fleet.Origin.Open())/strayClients, 1.5)
	report.Equal("healthy origin: refused or failed", float64(result.Refused+result.Failed), 0)
	return nil
}

// measureEqualValues compares reads of equal values with reads of values that differ, from healthy caches.
func (e *Env) measureEqualValues(report *Report) error {
	const clients, caches = 32, 8
	rates := map[string]float64{}
	blank := standin.Value("blank", 2048)
	for _, kind := range []struct {
		name   string
		source func(key string) []byte
	}{{"equal", func(string) []byte { return blank }}, {"differing", func(key string) []byte { return standin.Value(key, 2048) }}} {
		fleet, err := standin.NewFleet(caches, 2048)
		if err != nil {
			return err
		}
		for _, cache := range fleet.Caches {
			cache.SetSource(kind.source)
		}
		addr, process, err := e.startProxy("values-"+kind.name, fleet, 96, 1024)
		if err != nil {
			fleet.Close()
			return err
		}
		result, err := runClosedLoop(process, clients, 2*e.strayTime(), newAnyValueWorker(addr))
		strays := len(process.LogLines("no request asked for"))
		process.Kill()
		fleet.Close()
		if err != nil {
			return fmt.Errorf("%s values: %w", kind.name, err)
		}
		rates[kind.name] = result.PerSecond()
		e.Log("%s values: %.0f a second, %d refused", kind.name, result.PerSecond(), result.Refused)
		report.AddValue(kind.name+" values: served a second", result.PerSecond())
		report.AddValue(kind.name+" values: CPU us a read", 1e6/result.PerCPU())
		report.Equal(kind.name+" values: refused", float64(result.Refused), 0)
		report.Equal(kind.name+" values: members under suspicion", float64(strays), 0)
	}
	report.AtLeast("equal values: served, of differing ones", rates["equal"]/rates["differing"], 0.95)
	return nil
}

// newAnyValueWorker returns workers that read keys of their own, and accept any value.
func newAnyValueWorker(addr string) func(int) (func(int) error, func(), error) {
	return func(w int) (func(int) error, func(), error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, err
		}
		reader := &tileReader{conn: conn, in: bufio.NewReaderSize(conn, 4096)}
		read := func(i int) error {
			reader.command = appendTileRead(reader.command[:0], w*7919+i, "c=tile-read,t=acme,d=3000")
			reader.conn.SetDeadline(time.Now().Add(waitTimeout))
			if _, err := reader.conn.Write(reader.command); err != nil {
				return err
			}
			return readTile(reader.in, []byte("value of "))
		}
		return read, func() { conn.Close() }, nil
	}
}

// measureEarlyRejections runs writes that the origin refuses on their header.
func (e *Env) measureEarlyRejections(report *Report) error {
	result, err := e.runStrays("origin", standin.Strays{}, 1, func(fleet *standin.Fleet) { fleet.Origin.SetRejectEarly(true) })
	if err != nil {
		return err
	}
	e.Log("early rejections: %v", result)
	report.AddValue("writes refused on their header: refused", float64(result.Refused))
	report.Equal("writes refused on their header: garbled", float64(result.Garbled), 0)
	return nil
}

// programVariable names a linenloom program to measure in place of the one that was built.
const programVariable = "LINENLAB_PROGRAM"

// program returns the path of the program that is measured.
func (e *Env) program() string {
	if path := os.Getenv(programVariable); path != "" {
		return path
	}
	return e.Bin + "/linenloom"
}
