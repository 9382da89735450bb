package lab

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/standin"
)

// requestsPerCase is the number of refused or failed requests measured in each case of the answers scenario.
const requestsPerCase = 20

// maxAnswerDelay bounds the time from the last attempt's outcome to the final answer.
const maxAnswerDelay = 50 * time.Millisecond

// answerCase is one fault that makes the proxy refuse a request or answer it with an error.
type answerCase struct {
	name  string
	write bool
	// injectFault makes a healthy fleet fail in the way that the case needs.
	injectFault func(*standin.Fleet)
	wantPrefix  string // start of the expected answer
	// deadline is the client's deadline if the answer is due only when it expires. 0: a deadline too long to
	// matter.
	deadline   time.Duration
	someServed bool   // the proxy may serve some requests; these are not counted
	onlyFronts string // names of the front ends that the case applies to; "": all
}

var answerCases = []answerCase{
	{name: "order, the origin answers 500", write: true, injectFault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Failing) }, wantPrefix: "-ERR"},
	{name: "order, the origin resets once it has run", write: true, injectFault: func(f *standin.Fleet) { f.Origin.SetResetAfterRun(true) }, wantPrefix: "-ERR"},
	{name: "order, the origin turns it away each time", write: true, injectFault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Busy) }, wantPrefix: "-BUSY"},
	{name: "read, every box fails", write: false, injectFault: func(f *standin.Fleet) {
		for _, cache := range f.Caches {
			cache.SetFault(standin.Failing)
		}
	}, wantPrefix: "-BUSY"},
	{name: "read, missed, and the origin answers 500", write: false, injectFault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Failing) }, wantPrefix: "-BUSY"},
	{name: "read, every box finds fault with it", injectFault: func(f *standin.Fleet) {
		for _, cache := range f.Caches {
			cache.SetFault(standin.Rejecting)
		}
	}, wantPrefix: "-ERR", onlyFronts: "RESP2 answer"},
	{name: "read, every box is cold: the cold budget", injectFault: func(f *standin.Fleet) {
		for _, m := range f.Registry.List().Members {
			if m.Flavor == "box" {
				m.UpSinceMS = float64(time.Now().UnixMilli())
				f.Registry.Update(m)
			}
		}
	}, wantPrefix: "-BUSY", someServed: true},
	{name: "read, every box stalls: out of its client's time", injectFault: func(f *standin.Fleet) {
		for _, cache := range f.Caches {
			cache.SetFault(standin.Stall)
		}
	}, wantPrefix: "-BUSY", deadline: 150 * time.Millisecond, onlyFronts: "RESP2"},
	{name: "read, missed, and the origin resets", write: false, injectFault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Reset) }, wantPrefix: "-BUSY"},
}

// Answers runs the scenario of requests that the proxy refuses or answers with an error: how long after the
// outcome of the last attempt the client receives the final answer, through both front ends and at light
// load.
func Answers(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "answers"}
	for _, front := range []string{"RESP2", "answer", "route"} {
		env.Log("answers: %s", front)
		worst := time.Duration(0)
		for i, testCase := range answerCases {
			if testCase.onlyFronts != "" && !strings.Contains(testCase.onlyFronts, front) {
				continue
			}
			delay, err := env.measureAnswerDelay(ctx, fmt.Sprint("answers-", front, i), front, testCase)
			if err != nil {
				return report, fmt.Errorf("%s: %s: %w", front, testCase.name, err)
			}
			report.AddValue(front+": "+testCase.name+": worst, ms", float64(delay)/float64(time.Millisecond))
			worst = max(worst, delay)
		}
		report.AtMost(front+": worst of all, ms after the last outcome", float64(worst)/float64(time.Millisecond),
			float64(maxAnswerDelay)/float64(time.Millisecond))
	}
	for _, testCase := range concurrentCases {
		env.Log("answers: %s", testCase.name)
		delay, refused, err := testCase.run(env)
		if err != nil {
			return report, fmt.Errorf("%s: %w", testCase.name, err)
		}
		report.AddValue(testCase.name+": reads given up", float64(refused))
		report.AtMost(testCase.name+": worst, ms after it was due", float64(delay)/float64(time.Millisecond),
			float64(maxAnswerDelay)/float64(time.Millisecond))
	}
	return report, ctx.Err()
}

// measureAnswerDelay runs a case and returns the longest time from the last outcome to the final answer.
func (e *Env) measureAnswerDelay(ctx context.Context, name, front string, testCase answerCase) (worst time.Duration, err error) {
	fleet, err := standin.NewFleet(3, 64)
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	var process *Process
	var request func(key, id string) (string, error)
	if front == "RESP2" {
		var addr string
		if addr, process, err = e.startProxy(name, fleet, 64, 512); err != nil {
			return 0, err
		}
		redis, err := dialRedis(addr)
		if err != nil {
			return 0, err
		}
		defer redis.conn.Close()
		request = func(key, id string) (string, error) {
			if testCase.write {
				return redis.do("OBJ.SET", key, id, "c=pass-order,d=3000", "one pass")
			}
			deadline := cmp.Or(testCase.deadline, 3*time.Second)
			if strings.HasPrefix(key, "warm") {
				deadline = 3 * time.Second
			}
			return redis.do("OBJ.GET", key, id, fmt.Sprint("c=tile-read,d=", deadline.Milliseconds()))
		}
	} else {
		addr, err := standin.FreeAddr()
		if err != nil {
			return 0, err
		}
		if process, err = e.startProcessor(name, fleet, "127.0.0.1:0", addr, front, "200ms"); err != nil {
			return 0, err
		}
		processor, err := caller.Dial(addr)
		if err != nil {
			return 0, err
		}
		defer processor.Close()
		processor.Retries, processor.MessageTimeout = 4, waitTimeout
		request = func(key, id string) (string, error) {
			httpRequest := caller.Request{Method: "GET", Path: "/tiles/" + key, Headers: map[string]string{"x-request-id": id}}
			if testCase.write {
				httpRequest.Method, httpRequest.Path, httpRequest.Body = "PUT", "/orders/"+key, []byte("one pass")
			}
			result := processor.Do(ctx, httpRequest)
			switch {
			case result.Err != nil:
				return "", result.Err
			case result.Status == 503 || result.Status == 429:
				return "-BUSY", nil
			case result.Status == 502:
				return "-ERR", nil
			}
			return fmt.Sprint(result.Status), nil
		}
	}
	defer process.Kill()
	warmUpRequests := 0
	if err := eventually("a request is served", func() bool {
		warmUpRequests++
		answer, err := request(fmt.Sprint("warm", warmUpRequests), fmt.Sprint(name, "-w", warmUpRequests))
		return err == nil && !strings.HasPrefix(answer, "-")
	}); err != nil {
		return 0, err
	}
	testCase.injectFault(fleet)
	givenUp := 0
	for i := 0; givenUp < requestsPerCase; i++ {
		if i == 10*requestsPerCase {
			return 0, fmt.Errorf("only %d of %d answers begin with %s", givenUp, i, testCase.wantPrefix)
		}
		// Spaced out as at light load, so that the retry budget has no influence on the result.
		time.Sleep(20 * time.Millisecond)
		sentAt := time.Now()
		lastOutcome := sentAt // a request refused before any attempt counts from its sending
		answer, err := request(fmt.Sprint("a", i), fmt.Sprint(name, "-", i))
		answeredAt := time.Now()
		if err != nil {
			return 0, err
		}
		if testCase.someServed && !strings.HasPrefix(answer, "-") {
			continue
		}
		givenUp++
		if !strings.HasPrefix(answer, testCase.wantPrefix) {
			return 0, fmt.Errorf("answered %q, want prefix %s", answer, testCase.wantPrefix)
		}
		if at := fleet.LastEnded(); at.After(lastOutcome) {
			lastOutcome = at
		}
		// Attempts at stalled caches have no outcome; the answer is due at the client's deadline.
		if testCase.deadline > 0 {
			lastOutcome = sentAt.Add(testCase.deadline)
		}
		worst = max(worst, answeredAt.Sub(lastOutcome))
	}
	return worst, nil
}
