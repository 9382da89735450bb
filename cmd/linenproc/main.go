// Command linenproc is linenloom with the front of the external processor and with membership: the same
// host, decision module and RESP2 front in one process, plus gRPC and the connections to other instances.
// linenloom executes this program when the operator's file sets [extproc] or [instances].
package main

import (
	"log/slog"
	"os"

	"linenloom/internal/app"
	"linenloom/internal/extproc/server"
	"linenloom/internal/instances"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
)

func main() {
	g := app.Program{
		Name: "linenproc",
		HelpText: `This is linenloom with the external processor; see docs/extproc-operators.md for the setup.
`,
		NewExtProc: func(p *proxy.Proxy, file *operator.File, log *slog.Logger) (app.Front, error) {
			return server.New(p, file, log)
		},
		NewFleet: func(j app.FleetConfig) (app.Fleet, error) { return instances.New(j) },
	}
	if status := g.Main(os.Args[1:]); status != 0 {
		os.Exit(status)
	}
}
