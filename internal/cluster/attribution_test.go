package cluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/pool"
	"linenloom/internal/standin"
)

// strayDelays are the delays of stray bytes after an answer, in turn.
var strayDelays = []time.Duration{25, 3, 200, 60, 10, 150, 100, 5, 0}

const (
	strayDelayTime   = 300 * time.Millisecond // how long each delay lasts
	strayServiceTime = 25 * time.Millisecond  // of the origin
	strayClients     = 24
)

// attributionScene is a fleet whose members send strays, before one fresh process.
type attributionScene struct {
	t       *testing.T
	fleet   *standin.Fleet
	proxy   string
	process *Process
}

func newAttributionScene(t *testing.T) *attributionScene {
	t.Helper()
	runningClusters <- struct{}{}
	t.Cleanup(func() { <-runningClusters })
	fleet, err := standin.NewFleet(4, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	fleet.Overrides = map[string]any{"classes": standin.AttributionSettings()}
	fleet.Origin.SetService(strayServiceTime, 0)
	return &attributionScene{t: t, fleet: fleet}
}

// start starts the process, with the arguments.
func (s *attributionScene) start(args ...string) {
	s.t.Helper()
	self, err := os.Executable()
	if err != nil {
		s.t.Fatal(err)
	}
	if s.proxy, err = standin.FreeAddr(); err != nil {
		s.t.Fatal(err)
	}
	config, err := s.fleet.Config("n1", s.proxy, "8c1f30d27a5be964", 96, 1024)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if s.process, err = Start("msg=ready", []string{proxyEnv + "=1", "LB_CONFIG=" + path, "LB_LISTEN=" + s.proxy}, self, args...); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(s.process.Kill)
}

// serveFromCaches makes every cache have every key, with a value that names it.
func (s *attributionScene) serveFromCaches() {
	for _, cache := range s.fleet.Caches {
		cache.SetService(2*time.Millisecond, 0)
		cache.SetSource(func(key string) []byte { return standin.Value(key, 64) })
	}
}

// setCacheStrays sets the strays of every cache.
func (s *attributionScene) setCacheStrays(strays standin.Strays) {
	for _, cache := range s.fleet.Caches {
		cache.SetStrays(strays)
	}
}

// sweep runs clients while members send strays of a form after each delay in turn, and returns what they saw.
func (s *attributionScene) sweep(form standin.StrayForm, classes []standin.AttributionClass, set func(standin.Strays)) standin.AttributionResult {
	s.t.Helper()
	checker := standin.NewAttributionChecker(s.fleet)
	set(standin.Strays{Form: form, Every: 10, Delay: strayDelays[0] * time.Millisecond})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, delay := range strayDelays[1:] {
			time.Sleep(strayDelayTime)
			set(standin.Strays{Form: form, Every: 10, Delay: delay * time.Millisecond})
		}
	}()
	result, err := checker.RunClients([]string{s.proxy}, classes, strayClients, strayDelayTime*time.Duration(len(strayDelays)))
	<-done
	if err != nil {
		s.t.Fatal(err)
	}
	return result
}

// minServed is how many requests a sweep has to serve to say anything.
const minServed = 100

func (s *attributionScene) requireUnbroken(result standin.AttributionResult, minServed int) {
	s.t.Helper()
	s.t.Log(result)
	if result.Broken() > 0 {
		s.t.Errorf("%d requests broke a rule: %v", result.Broken(), result)
	}
	if result.Served < minServed {
		s.t.Errorf("only %d requests were served", result.Served)
	}
}

// An answer that comes up to 200 ms after another one on a connection to the origin, in any form, is not
// taken for the answer to a later request.
func TestLateAnswersOfTheOriginAreNotAttributed(t *testing.T) {
	t.Parallel()
	for _, form := range standin.OriginStrays {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			t.Parallel()
			scene := newAttributionScene(t)
			scene.start()
			scene.requireUnbroken(scene.sweep(form, standin.AttributionClasses, scene.fleet.Origin.SetStrays), minServed)
			if lines := scene.process.LogLines("no request asked for"); len(lines) == 0 {
				t.Error("the log does not tell of the stray bytes")
			}
		})
	}
}

// At an origin that refuses what exceeds its capacity, a late copy of a refusal is not taken for the refusal of
// a request that is running, which would then be refused to its client.
func TestLateRefusalsOfAnOriginAtItsCapacityAreNotAttributed(t *testing.T) {
	t.Parallel()
	const capacity = 12
	for _, form := range []standin.StrayForm{standin.StrayBusy, standin.StrayTimeout} {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			t.Parallel()
			scene := newAttributionScene(t)
			scene.fleet.Origin.SetService(strayServiceTime, capacity)
			scene.start()
			scene.requireUnbroken(scene.sweep(form, standin.AttributionClasses, scene.fleet.Origin.SetStrays), minServed)
		})
	}
}

// Pauses of a process, which may fall between an answer's arrival, its reading and the next use of its
// connection, do not let late answers be attributed.
func TestLateAnswersAreNotAttributedWithPauses(t *testing.T) {
	t.Parallel()
	for _, form := range []standin.StrayForm{standin.StrayCopy, standin.StrayBusy} {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			t.Parallel()
			scene := newAttributionScene(t)
			scene.start()
			random := rand.New(rand.NewPCG(67, 0))
			quit, paused := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(paused)
				for {
					select {
					case <-quit:
						return
					case <-time.After(time.Duration(random.Int64N(int64(maxPause)))):
					}
					scene.process.Signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(1 + random.Int64N(int64(maxPause))))
					scene.process.Signal(syscall.SIGCONT)
				}
			}()
			result := scene.sweep(form, standin.AttributionClasses, scene.fleet.Origin.SetStrays)
			close(quit)
			<-paused
			scene.requireUnbroken(result, minServed)
		})
	}
}

// An answer that comes up to 200 ms after another one on a connection to a cache, in any form, is not taken
// for the answer to a later request.
func TestLateAnswersOfCachesAreNotAttributed(t *testing.T) {
	t.Parallel()
	for _, form := range standin.CacheStrays {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			t.Parallel()
			scene := newAttributionScene(t)
			scene.serveFromCaches()
			scene.start()
			scene.requireUnbroken(scene.sweep(form, standin.AttributionClasses[:3], scene.setCacheStrays), minServed)
		})
	}
}

// Where caches end the connection with each fence, reads that must not run twice are fenced all the same.
func TestUnsafeReadsAreAttributedWhereFencesEndConnections(t *testing.T) {
	t.Parallel()
	for _, form := range []standin.StrayForm{standin.StrayCopy, standin.StrayOther, standin.StrayBusy, standin.StrayNull} {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			t.Parallel()
			scene := newAttributionScene(t)
			scene.serveFromCaches()
			for _, cache := range scene.fleet.Caches {
				cache.SetEndAfterSelect(true)
			}
			scene.start()
			scene.requireUnbroken(scene.sweep(form, standin.AttributionClasses[:1], scene.setCacheStrays), minServed)
		})
	}
}

// Caches that accept one request at a time on a connection are sent no fences: reads that must not run twice
// get connections that have rested, or new ones.
func TestUnsafeReadsAreAttributedWithoutFences(t *testing.T) {
	t.Parallel()
	limits := standin.Settings()["limits"].(map[string]any)
	limits["multiplex"] = 1
	for _, form := range []standin.StrayForm{standin.StrayCopy, standin.StrayBusy} {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			t.Parallel()
			scene := newAttributionScene(t)
			scene.fleet.Overrides["limits"] = limits
			scene.serveFromCaches()
			scene.start()
			scene.requireUnbroken(scene.sweep(form, standin.AttributionClasses[:1], scene.setCacheStrays), minServed)
		})
	}
}

// With joined reads and recorded orders, no late answer of a cache or of the origin reaches the reads that share
// an attempt, or is recorded as the receipt of an order, which its repetition is answered with.
func TestLateAnswersAreNotSharedOrRecorded(t *testing.T) {
	t.Parallel()
	classes := []standin.AttributionClass{
		{Name: "read", SharedKeys: 8}, {Name: "keyed-write", Write: true, Keyed: true, Repeats: true}, {Name: "read", SharedKeys: 8},
	}
	for _, form := range []standin.StrayForm{standin.StrayCopy, standin.StrayOther, standin.StrayBusy} {
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			t.Parallel()
			scene := newAttributionScene(t)
			scene.serveFromCaches()
			operator := filepath.Join(t.TempDir(), "operator.toml")
			config := fmt.Sprintf("[joining]\n[orders]\ndir = %q\nstrangers = \"run\"\nreceipts = [\"resp2\"]\n", t.TempDir())
			if err := os.WriteFile(operator, []byte(config), 0o600); err != nil {
				t.Fatal(err)
			}
			scene.start("-operator", operator)
			scene.requireUnbroken(scene.sweep(form, classes, func(strays standin.Strays) {
				scene.fleet.Origin.SetStrays(strays)
				for _, cache := range scene.fleet.Caches {
					cache.SetStrays(strays)
				}
			}), minServed)
		})
	}
}

// A connection on which a write was refused before its last byte was sent is not used again: the first byte
// of the next request would become the last byte of the write. The clients run until a read was served, as an origin
// that refuses all writes is taken to be at its capacity, and most reads are refused too.
func TestWriteRefusedEarlyDoesNotTakeTheNextRequest(t *testing.T) {
	t.Parallel()
	scene := newAttributionScene(t)
	scene.fleet.Origin.SetRejectEarly(true)
	scene.start()
	checker := standin.NewAttributionChecker(scene.fleet)
	var result standin.AttributionResult
	for end := time.Now().Add(WaitTimeout); result.Served == 0 && time.Now().Before(end); {
		var err error
		if result, err = checker.RunClients([]string{scene.proxy}, standin.AttributionClasses, strayClients, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	scene.requireUnbroken(result, 1)
	if result.Refused == 0 {
		t.Error("no write was refused")
	}
}

// Caches whose values are all the same cost no connection and no refusal: equal bytes are no evidence of a
// second copy.
func TestEqualValuesCostNoConnection(t *testing.T) {
	t.Parallel()
	const clients = 32
	scene := newAttributionScene(t)
	blank := standin.Value("blank", 2048)
	for _, cache := range scene.fleet.Caches {
		cache.SetSource(func(string) []byte { return blank })
	}
	scene.start()
	checker := standin.NewAttributionChecker(scene.fleet)
	result, err := checker.RunClients([]string{scene.proxy}, []standin.AttributionClass{{Name: "read"}}, clients, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for _, cache := range scene.fleet.Caches {
		accepted += cache.Accepted()
	}
	t.Logf("%d answers, %d refused, %d connections", result.ServedAnother, result.Refused, accepted)
	if limit := pool.MaxCacheConns * len(scene.fleet.Caches); accepted > limit {
		t.Errorf("%d connections were made, want at most %d", accepted, limit)
	}
	if result.Refused+result.Failed > 0 || result.ServedAnother < minServed {
		t.Errorf("%d of the equal values were delivered, %d refused, %d failed", result.ServedAnother, result.Refused, result.Failed)
	}
	if lines := scene.process.LogLines("no request asked for"); len(lines) > 0 {
		t.Error(lines[0])
	}
}
