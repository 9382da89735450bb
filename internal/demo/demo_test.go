package demo

import (
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// outputWatcher collects the output and closes matched once the output matches the pattern.
type outputWatcher struct {
	mu      sync.Mutex
	text    strings.Builder
	pattern *regexp.Regexp
	matched chan struct{}
	once    sync.Once
}

func (w *outputWatcher) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.text.Write(b)
	if w.pattern.MatchString(w.text.String()) {
		w.once.Do(func() { close(w.matched) })
	}
	return len(b), nil
}

// The demo serves requests, prints their numbers, and ends cleanly when its context is cancelled.
func TestRunDemo(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	watcher := &outputWatcher{pattern: regexp.MustCompile(`(?m)^ +\d+ +\d+ +[1-9]\d* `), matched: make(chan struct{})}
	done := make(chan error, 1)
	go func() { done <- runDemo(ctx, watcher, 4) }()
	const timeout = 20 * time.Second
	select {
	case <-watcher.matched:
	case <-time.After(timeout):
		t.Error("nothing was served")
	}
	stop()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(timeout):
		t.Fatal("it did not end")
	}
	if out := watcher.text.String(); !strings.HasSuffix(out, "ended\n") {
		t.Errorf("it ended with %q", out)
	}
}

func TestArguments(t *testing.T) {
	for _, args := range [][]string{{"-clients", "0"}, {"-seconds", "-1"}, {"more"}, {"-nonsense"}} {
		if status := Run(args); status != 2 {
			t.Errorf("%v: status %d", args, status)
		}
	}
}
