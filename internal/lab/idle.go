package lab

import (
	"context"
	"time"
)

// Idle runs the scenario of a proxy without requests in front of 60 caches: the CPU time that it uses anyway.
func Idle(_ context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "idle"}
	fleet, err := newFilledFleet(60, 64, 1)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	_, process, err := env.startProxy("idle", fleet, 64, 384)
	if err != nil {
		return report, err
	}
	defer process.Kill()
	startupCPU, err := process.CPU()
	if err != nil {
		return report, err
	}
	time.Sleep(3 * time.Second) // until the work of the start is done
	var before time.Duration
	if before, err = process.CPU(); err != nil {
		return report, err
	}
	duration := time.Duration(env.Seconds) * time.Second
	time.Sleep(duration)
	after, err := process.CPU()
	if err != nil {
		return report, err
	}
	report.AddValue("CPU until it is ready, ms", float64(startupCPU)/float64(time.Millisecond))
	report.AtMost("CPU a second, idle, ms", float64(after-before)/float64(time.Millisecond)/duration.Seconds(), 10)
	if kb, err := process.Resident(); err == nil {
		report.AddValue("resident, MB", float64(kb)/1024)
	}
	return report, process.Stop()
}
