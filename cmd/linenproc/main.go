// Command linenproc is linenloom with the external processor's front: the same host, module and RESP2 front in one
// process, and gRPC beside them. linenloom becomes this program by itself when the operator's file sets [extproc].
package main

import (
	"log/slog"
	"os"

	"linenloom/internal/app"
	"linenloom/internal/extproc/server"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
)

func main() {
	g := app.Program{
		Name: "linenproc",
		About: `This is linenloom with the external processor; docs/extproc-operators.md tells how to set it up.
`,
		ExtProc: func(p *proxy.Proxy, file *operator.File, log *slog.Logger) (app.Front, error) {
			return server.New(p, file, log)
		},
	}
	if status := g.Main(os.Args[1:]); status != 0 {
		os.Exit(status)
	}
}
