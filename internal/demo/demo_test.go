package demo

import (
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// outputWatcher is what has been printed; a line that matches closes seen.
type outputWatcher struct {
	mu      sync.Mutex
	text    strings.Builder
	pattern *regexp.Regexp
	matched chan struct{}
	once    sync.Once
}

func (s *outputWatcher) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Write(b)
	if s.pattern.MatchString(s.text.String()) {
		s.once.Do(func() { close(s.matched) })
	}
	return len(b), nil
}

// It serves, says so, and ends cleanly when it is told to.
func TestRunDemo(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := &outputWatcher{pattern: regexp.MustCompile(`(?m)^ +\d+ +\d+ +[1-9]\d* `), matched: make(chan struct{})}
	done := make(chan error, 1)
	go func() { done <- runDemo(ctx, s, 4) }()
	const patience = 20 * time.Second
	select {
	case <-s.matched:
	case <-time.After(patience):
		t.Error("nothing was served")
	}
	stop()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("it did not end")
	}
	if out := s.text.String(); !strings.HasSuffix(out, "ended\n") {
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
