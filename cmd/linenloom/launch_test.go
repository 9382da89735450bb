package main

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"linenloom/internal/standin"
)

// launch starts the program from the test binary and waits until it logs that it is ready. Earlier processes
// may have written to the same log.
func launch(t *testing.T, log *logCounter, args []string, env ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(append(os.Environ(), asProgram+"=1"), env...)
	cmd.Stderr = log
	was := log.count("msg=ready")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	for end := time.Now().Add(20 * time.Second); log.count("msg=ready") == was; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the process never says that it is ready")
		}
	}
	return cmd
}

// extendDeadlines gives a fleet's requests deadlines of one minute, and sets further limits.
func extendDeadlines(fleet *standin.Fleet, limits map[string]any) {
	settings := standin.Settings()
	for _, c := range settings["classes"].([]any) {
		c.(map[string]any)["aim_ms"], c.(map[string]any)["deadline_ms"] = 60e3, 60e3
	}
	for name, value := range limits {
		settings["limits"].(map[string]any)[name] = value
	}
	fleet.Overrides = map[string]any{"classes": settings["classes"], "limits": settings["limits"]}
}
