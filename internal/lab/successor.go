package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/standin"
)

const (
	crossClients  = 32
	crossUpgrades = 4
	crossMost     = 2 // requests an upgrade that meet a connection that ends

	heirPairs   = 4
	heirBoxes   = 8
	heirKeys    = 3000
	heirClients = 48
	heirFirst   = 5 * time.Second
	heirService = 6 * time.Millisecond
	heirPlaces  = 4 // at a box
	heirFetch   = 60 * time.Millisecond
	heirFetches = 24 // at once at the origin
)

// staged is a fleet with a process before it, which others follow or take the place of.
func staged(e *Env, name string, boxes int) (*operation, func(), error) {
	fleet, err := standin.NewFleet(boxes, 512)
	if err != nil {
		return nil, nil, err
	}
	listen, err := standin.FreeAddr()
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	dir := filepath.Join(e.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fleet.Close()
		return nil, nil, err
	}
	scratch := *e
	scratch.Dir = dir
	o := &operation{e: &scratch, fleet: fleet, door: &Door{Addr: listen}, class: "tile-read"}
	if err = o.configure(); err == nil {
		err = o.start()
	}
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	return o, func() { o.process.Kill(); fleet.Close() }, nil
}

// crossings counts the requests that meet a connection that ends, at upgrades, for clients that come again at once or soon. They
// look at their connection before they ask: one that does not look meets every end, whenever it comes.
func crossings(e *Env, r *Report) error {
	for name, gap := range map[string]time.Duration{"at once": -1, "after 1 ms": time.Millisecond, "after 10 ms": 10 * time.Millisecond} {
		o, end, err := staged(e, "cross", 4)
		if err != nil {
			return err
		}
		o.door.Gap, o.door.Looks = gap, true
		o.door.Open(crossClients, 200, 0)
		err = o.door.Progress(1000)
		for n := 0; n < crossUpgrades && err == nil; n++ {
			old := o.process
			if err = o.start(); err != nil {
				break
			}
			old.Stop()
			err = o.door.Progress(1000)
		}
		o.door.Close()
		d := o.door
		end()
		if err != nil {
			return err
		}
		met := float64(d.Crossed.Load()+d.Broken.Load()+d.Shut.Load()) / crossUpgrades
		r.AtMost("requests an upgrade that meet an ended connection, clients that ask again "+name, met, crossMost)
	}
	return nil
}

// served is what became of reads in some time.
type served struct{ inTime, other, fetches float64 }

// successors compares the first seconds of processes that take another's place, with what that one has learnt and without.
func successors(ctx context.Context, e *Env, r *Report) error {
	var sum [2][2]served // by upgrade or restart, with and without
	for pair := range heirPairs {
		for way, name := range []string{"upgrade", "restart"} {
			for k := range 2 {
				with := (k + pair) % 2 // who begins takes turns
				got, err := firstSeconds(e, name == "upgrade", with == 0, uint64(pair))
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				s := &sum[way][with]
				s.inTime, s.other, s.fetches = s.inTime+got.inTime, s.other+got.other, s.fetches+got.fetches
				if ctx.Err() != nil {
					return ctx.Err()
				}
			}
		}
	}
	for way, name := range []string{"an upgrade", "a restart"} {
		with, without := sum[way][0], sum[way][1]
		r.AtLeast("reads in time in the first 5 s after "+name+", with what was learnt to without", with.inTime/without.inTime, 0.99)
		r.AtMost("origin fetches of a read in time there, with to without", with.fetches/with.inTime/(without.fetches/without.inTime), 1.1)
		r.Tell("reads there not in time, with", with.other)
		r.Tell("reads there not in time, without", without.other)
	}
	return nil
}

// firstSeconds plays one start of a process under load: reads that come by a fixed plan, of keys of uneven popularity.
func firstSeconds(e *Env, upgrade, with bool, seed uint64) (got served, err error) {
	o, end, err := staged(e, fmt.Sprintf("heir-%t-%t-%d", upgrade, with, seed), heirBoxes)
	if err != nil {
		return got, err
	}
	defer end()
	for _, b := range o.fleet.Caches {
		b.SetService(heirService, heirPlaces)
	}
	o.fleet.Origin.SetService(heirFetch, heirFetches)

	var inTime, other atomic.Int64
	quit := make(chan struct{})
	var clients sync.WaitGroup
	for c := range heirClients {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			zipf := rand.NewZipf(rng, 1.05, 4, heirKeys-1)
			var conn *redisClient
			for n := 0; ; n++ {
				select {
				case <-quit:
					if conn != nil {
						conn.conn.Close()
					}
					return
				case <-time.After(time.Duration(10+rng.IntN(30)) * time.Millisecond):
				}
				if conn != nil && conn.ended() {
					conn.conn.Close()
					conn = nil
				}
				if conn == nil {
					var err error
					if conn, err = dialRedis(o.door.Addr); err != nil {
						conn = nil
						continue // nobody listens: not what is compared
					}
				}
				begun := time.Now()
				answer, err := conn.ask("OBJ.GET", fmt.Sprintf("%x", 0x1000+zipf.Uint64()), fmt.Sprintf("%08x%08x", c, n), "c=tile-read,d=3000")
				if err != nil {
					conn.conn.Close()
					conn = nil
				}
				if err == nil && len(answer) > 0 && answer[0] != '-' && time.Since(begun) <= standin.ReadSoftDeadline {
					inTime.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	defer func() { close(quit); clients.Wait() }()
	if err := eventually("the fleet is warm", func() bool { return inTime.Load() > 8000 }); err != nil {
		return got, err
	}
	old := o.process
	if !with { // a folder in the file's place: nothing can be left there, and nothing be read
		dirs, err := filepath.Glob(filepath.Join(filepath.Dir(o.path), "linenloom-*"))
		if err != nil || len(dirs) != 1 {
			return got, errors.Join(fmt.Errorf("%d folders to hand over by", len(dirs)), err)
		}
		if err := os.Mkdir(filepath.Join(dirs[0], "learnt"), 0o700); err != nil {
			return got, err
		}
	}
	if !upgrade {
		old.Stop()
	}
	if err := o.start(); err != nil {
		return got, err
	}
	before, asked, missed := o.fleet.Origin.Fetches(), inTime.Load(), other.Load()
	if upgrade {
		old.Stop()
	}
	time.Sleep(heirFirst)
	return served{float64(inTime.Load() - asked), float64(other.Load() - missed), float64(o.fleet.Origin.Fetches() - before)}, nil
}
