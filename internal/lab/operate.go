package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"syscall"
	"time"

	"linenloom/internal/standin"
)

const (
	operateClients            = 24
	operateRounds             = 6
	idleManagementConnections = 40
	// classEffectiveAfter is the time after SIGHUP from which clients may name a new class. drainGrace is the
	// time after the answer to a maintenance request from which no request may go to the cache under
	// maintenance.
	classEffectiveAfter = 1200 * time.Millisecond
	drainGrace          = 250 * time.Millisecond
)

// Operate runs the scenario of daily operation under load. Each round puts a cache under maintenance and
// back, reloads the settings, and replaces the process by a successor; in every other round the predecessor
// is killed instead of stopped.
func Operate(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "operate"}
	fleet, err := standin.NewFleet(4, 512)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	listen, err := standin.FreeAddr()
	if err != nil {
		return report, err
	}
	run := &operation{env: env, report: report, fleet: fleet, clients: &ClientLoad{Addr: listen}, class: "tile-read"}
	if err := run.configure(); err != nil {
		return report, err
	}
	if err := run.startProcess(); err != nil {
		return report, err
	}
	defer func() { run.process.Kill() }()
	run.clients.Start(operateClients, 200, 10)
	clientsStopped := false
	defer func() {
		if !clientsStopped {
			run.clients.Stop()
		}
	}()
	if err := run.clients.AwaitServed(500); err != nil {
		return report, err
	}
	run.clients.LongestGap() // discards the gap of the start, as the call resets the value
	for round := range operateRounds {
		env.Log("operate: round %d of %d", round+1, operateRounds)
		if err := run.runRound(round); err != nil {
			return report, fmt.Errorf("round %d: %w", round+1, err)
		}
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
	}
	run.clients.Stop()
	clientsStopped = true

	clients := run.clients
	report.AddValue("requests served", float64(clients.Served.Load()))
	report.AddValue("requests that crossed the close of a connection, and went out again", float64(clients.ClosedUnread.Load()))
	report.Equal("connections refused, processes stopped", float64(run.faultsOfStops.connectionsRefused), 0)
	report.Equal("connections broken under a request, processes stopped", float64(run.faultsOfStops.connectionsBroken), 0)
	report.Equal("refused or failed, processes stopped", float64(run.faultsOfStops.refusedOrFailed), 0)
	report.AddValue("connections refused, processes killed", float64(run.faultsOfKills.connectionsRefused))
	report.AtMost("connections broken, processes killed: one for each client and kill", float64(run.faultsOfKills.connectionsBroken), operateClients*operateRounds/2)
	report.Equal("orders that have run, unanswered, processes stopped", float64(run.unansweredExecutions), 0)
	report.AddValue("orders without an answer, processes killed", float64(run.unresolvedOrders))
	report.Equal("late", float64(clients.Late.Load()), 0)
	repeatedOrders := 0
	for _, n := range fleet.Origin.Executions() {
		if n > 1 {
			repeatedOrders++
		}
	}
	report.Equal("orders run twice", float64(repeatedOrders), 0)
	report.Equal("requests to a box that is out, 250 ms after the yes", float64(run.requestsAfterDrain), 0)
	report.Equal("calls answered wrongly", float64(run.wrongStatuses), 0)
	report.AtMost("slowest call, ms", milliseconds(run.slowestCall), 1000)
	report.AddValue("longest time without an answer to anybody, ms", milliseconds(run.longestGap))
	if err := measureUpgradeCloses(env, report); err != nil {
		return report, err
	}
	return report, compareSuccessors(ctx, env, report)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// clientFaultCounts counts the faults that clients saw during some rounds.
type clientFaultCounts struct{ connectionsRefused, connectionsBroken, refusedOrFailed int64 }

type operation struct {
	env            *Env
	report         *Report
	fleet          *standin.Fleet
	clients        *ClientLoad
	process        *Process
	managementAddr string // management address of the process
	configPath     string
	class          string

	// faults in the rounds that stop the predecessor process, and in those that kill it
	faultsOfStops, faultsOfKills clientFaultCounts
	// requests that caches under maintenance received after drainGrace, and calls with an unexpected status
	requestsAfterDrain, wrongStatuses int
	unansweredExecutions              int // orders that a stopped process carried out without an answer
	unresolvedOrders                  int // orders without an answer when the process was killed
	// the slowest management call, and the longest time in which no client received an answer
	slowestCall, longestGap time.Duration
}

// configure writes the configuration, which has the round's class in addition to the usual ones.
func (o *operation) configure() error {
	configText, err := o.fleet.Config("operate", o.clients.Addr, "8c1f30d27a5be964", 64, 384)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(configText, &config); err != nil {
		return err
	}
	settings := config["settings"].(map[string]any)
	// Caches put back are not restarted, and all would count as cold at the same time; a fleet that is all
	// cold is not what is measured.
	settings["rules"].(map[string]any)["cold_ms"] = milliseconds(time.Second)
	if o.class != "tile-read" {
		classes := settings["classes"].([]any)
		class := map[string]any{}
		for k, v := range classes[0].(map[string]any) {
			class[k] = v
		}
		class["name"] = o.class
		settings["classes"] = append(classes, class)
	}
	if configText, err = json.Marshal(config); err != nil {
		return err
	}
	o.configPath, err = o.env.writeFile("operate.json", configText)
	return err
}

// startProcess starts a process beside the serving one and waits until its status call answers 200.
func (o *operation) startProcess() error {
	managementAddr, err := standin.FreeAddr()
	if err != nil {
		return err
	}
	process, err := Start("msg=ready", []string{"LB_CONFIG=" + o.configPath, "LB_MGMT=" + managementAddr, "TMPDIR=" + filepath.Dir(o.configPath)},
		filepath.Join(o.env.Bin, "linenloom"))
	if err != nil {
		return err
	}
	o.process, o.managementAddr = process, managementAddr
	return eventually("the status call answers 200", func() bool {
		status, _ := Call("GET", managementAddr, "/status", "")
		return status == 200
	})
}

// call sends a management request and counts it as wrong if its status is not the expected one.
func (o *operation) call(method, path, body string, want int) {
	status, elapsed := Call(method, o.managementAddr, path, body)
	if status != want {
		o.wrongStatuses++
	}
	o.slowestCall = max(o.slowestCall, elapsed)
}

func (o *operation) runRound(round int) error {
	before := o.currentFaults()
	cache := o.fleet.Caches[round%len(o.fleet.Caches)]
	// Connections that never send a complete request must not delay the calls: every second one sends half a
	// request, the others nothing.
	var idleConns []net.Conn
	for i := range idleManagementConnections {
		conn, err := net.Dial("tcp", o.managementAddr)
		if err != nil {
			return err
		}
		if idleConns = append(idleConns, conn); i%2 == 0 {
			io.WriteString(conn, "PUT /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\ns-")
		}
	}
	o.call("PUT", "/maintenance/enter", cache.ID, 200)
	o.call("PUT", "/maintenance/enter", cache.ID, 200)
	o.call("PUT", "/maintenance/enter", "nobody", 404)
	for _, c := range idleConns {
		c.Close()
	}
	time.Sleep(drainGrace)
	receivedAfterGrace := cache.Received()

	// The reload adds a class; clients name it once it is in effect.
	o.class = fmt.Sprint("round-", round)
	if err := o.configure(); err != nil {
		return err
	}
	o.process.Signal(syscall.SIGHUP)
	time.Sleep(classEffectiveAfter)
	class := o.class
	o.clients.SetClass(class)
	if err := o.clients.AwaitServed(300); err != nil {
		return err
	}

	predecessor := o.process
	if err := o.startProcess(); err != nil {
		return err
	}
	if err := o.clients.AwaitServed(300); err != nil {
		return err
	}
	kill := round%2 == 1
	if kill {
		predecessor.Kill()
	} else if err := predecessor.Stop(); err != nil {
		return fmt.Errorf("stopping the predecessor process: %w", err)
	}
	if err := o.clients.AwaitServed(500); err != nil {
		return err
	}
	o.requestsAfterDrain += cache.Received() - receivedAfterGrace
	o.call("PUT", "/maintenance/exit", cache.ID, 200)
	receivedAtReturn := cache.Received()
	if err := eventually("the cache is used again", func() bool { return cache.Received() > receivedAtReturn }); err != nil {
		return err
	}
	o.clients.SetClass("tile-read") // the next configuration drops this round's class
	if err := o.clients.AwaitServed(200); err != nil {
		return err
	}
	total := &o.faultsOfStops
	if kill {
		total = &o.faultsOfKills
	}
	unanswered := o.clients.UnansweredOrders()
	if kill {
		o.unresolvedOrders += len(unanswered)
	} else {
		executions := o.fleet.Origin.Executions()
		for _, key := range unanswered {
			o.unansweredExecutions += executions[key]
		}
	}
	after := o.currentFaults()
	if after.refusedOrFailed > before.refusedOrFailed {
		o.env.Log("operate: refused or failed: predecessor %v; successor %v", predecessor.Reasons(), o.process.Reasons())
	}
	total.connectionsRefused += after.connectionsRefused - before.connectionsRefused
	total.connectionsBroken += after.connectionsBroken - before.connectionsBroken
	total.refusedOrFailed += after.refusedOrFailed - before.refusedOrFailed
	o.longestGap = max(o.longestGap, o.clients.LongestGap())
	return nil
}

func (o *operation) currentFaults() clientFaultCounts {
	clients := o.clients
	return clientFaultCounts{clients.ConnectionsRefused.Load(), clients.ConnectionsBroken.Load(), clients.Refused.Load() + clients.Failed.Load()}
}
