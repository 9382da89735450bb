// Command linenproc is linenloom with the external processor's front and with membership: the same host, module and RESP2 front in one
// process, and gRPC and the other instances beside them. linenloom becomes this program by itself when the operator's file sets [extproc]
// or [instances].
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
		HelpText: `This is linenloom with the external processor; docs/extproc-operators.md tells how to set it up.
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
