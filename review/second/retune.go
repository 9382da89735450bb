package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["retune"] = retuneCase }

// status asks a proxy's second address whether it serves.
func status(mgmt string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + mgmt + "/status")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode/100 == 2
}

// retuneCase: orders are kept on record. In an upgrade the new process takes orders, which wait for the record of the
// old one; then a new configuration comes, in which one class more stands before the others.
func retuneCase(r *rig) error {
	var mu sync.Mutex
	runs := map[string]int{} // by order
	o, err := newOrigin(func(q originRequest) bool {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return false
		}
		if q.Method == http.MethodGet {
			return q.answer(200, "value of "+q.key)
		}
		order := string(body)
		mu.Lock()
		runs[order]++
		n := runs[order]
		mu.Unlock()
		r.logf("origin: carries out %q, id %s, for the %d. time", order, q.id, n)
		if n > 1 {
			r.breaks("%q ran %d times", order, n)
		}
		switch {
		case order == "order of the old process":
			time.Sleep(2500 * time.Millisecond)
		case n == 1 && order != "order 0":
			r.logf("origin: answers 500 to %q", order)
			return q.answer(500, "")
		}
		return q.answer(200, "receipt of "+order)
	})
	if err != nil {
		return err
	}
	members := []member{o.member}
	for i := range 4 {
		c, err := newCache(fmt.Sprintf("s-%d", i), "kochi-dc", i/2)
		if err != nil {
			return err
		}
		c.get = func(key, id, attrs string, _ <-chan struct{}) (string, bool) { return "value of " + key, true }
		members = append(members, c.member)
	}
	d, err := newRegistry(members...)
	if err != nil {
		return err
	}
	record := filepath.Join(r.dir, "orders")
	if err := os.Mkdir(record, 0o700); err != nil {
		return err
	}
	operatorFile := filepath.Join(r.dir, "operator.toml")
	if err := os.WriteFile(operatorFile, fmt.Appendf(nil, "[orders]\ndir = %q\n", record), 0o600); err != nil {
		return err
	}
	listen := freeAddr()
	settings := config("n0", listen, d.addr(), d.known(), siteClasses())
	tmp := filepath.Join(r.dir, "tmp-n0")
	old, err := r.startProxy(proxySpec{name: "n0", listen: listen, mgmt: freeAddr(), tmp: tmp, config: settings, operatorFile: operatorFile})
	if err != nil {
		return err
	}
	if err := r.awaitReady(old); err != nil {
		return err
	}
	var clients sync.WaitGroup
	send := func(order, id string) {
		for try := range 2 {
			c, err := dial(listen)
			if err != nil {
				r.logf("client: %q: %v", order, err)
				return
			}
			c.conn.SetDeadline(time.Now().Add(8 * time.Second))
			request := fmt.Sprintf("%s%d", id, try)
			r.logf("client: sends %q, id %s", order, request)
			a, err := c.call("OBJ.SET", "ab"+id, request, "c=pass-order,d=6000", order)
			c.close()
			r.logf("client: %q, id %s: %v %v", order, request, a, err)
			if err != nil || !a.busy {
				return
			}
			mu.Lock()
			ran := runs[order]
			mu.Unlock()
			if ran > 0 {
				r.breaks("%q was refused, and it had run", order)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	clients.Go(func() { send("order of the old process", "a") })
	time.Sleep(300 * time.Millisecond)

	started := time.Now()
	next, err := r.startProxy(proxySpec{name: "n0", listen: listen, mgmt: freeAddr(), tmp: tmp, configPath: old.configPath, operatorFile: operatorFile})
	if err != nil {
		return err
	}
	for !status(next.mgmt) {
		if time.Since(started) > 6*time.Second || !next.running() {
			return fmt.Errorf("the new process does not say yes")
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.logf("the new process says yes; SIGTERM goes to the old one")
	old.signal(syscall.SIGTERM)
	clients.Go(func() {
		select {
		case <-old.exited:
			r.logf("the old process has ended")
		case <-time.After(6700 * time.Millisecond):
			r.logf("SIGKILL goes to the old process")
			old.kill()
		}
	})
	for i := range 6 {
		time.Sleep(100 * time.Millisecond)
		clients.Go(func() { send(fmt.Sprintf("order %d", i), fmt.Sprintf("b%d", i)) })
	}
	time.Sleep(time.Until(started.Add(1200 * time.Millisecond)))
	if r.trouble {
		settings["settings"].(map[string]any)["classes"] = append([]any{class("tile-refresh", "repeatable", 800, 3000, 5000, 2)}, siteClasses()...)
		if err := writeConfig(old.configPath, settings); err != nil {
			return err
		}
		r.logf("a new configuration, SIGHUP to the new process")
		next.signal(syscall.SIGHUP)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(runs) < 5 {
		return fmt.Errorf("only %d orders reached the origin", len(runs))
	}
	return nil
}
