package demo

import (
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// screen is what has been printed; a line that matches closes seen.
type screen struct {
	mu   sync.Mutex
	text strings.Builder
	want *regexp.Regexp
	seen chan struct{}
	once sync.Once
}

func (s *screen) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Write(b)
	if s.want.MatchString(s.text.String()) {
		s.once.Do(func() { close(s.seen) })
	}
	return len(b), nil
}

// It serves, says so, and ends cleanly when it is told to.
func TestPlay(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := &screen{want: regexp.MustCompile(`(?m)^ +\d+ +\d+ +[1-9]\d* `), seen: make(chan struct{})}
	done := make(chan error, 1)
	go func() { done <- play(ctx, s, 4) }()
	const patience = 20 * time.Second
	select {
	case <-s.seen:
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
