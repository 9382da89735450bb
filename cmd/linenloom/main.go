// Command linenloom is the proxy. It reads its configuration, serves until a signal stops it, and ends
// after the last accepted request has been answered.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"linenloom/internal/app"
	"linenloom/internal/demo"
	"linenloom/internal/idcmd"
	"linenloom/internal/ordercmd"
	"linenloom/internal/storecmd"
	"linenloom/internal/zonecmd"
)

func main() {
	g := app.Program{
		Name: "linenloom", ExecOther: execProcessor,
		Commands: map[string]func([]string) int{"demo": demo.Run, "token": idcmd.Token, "keys": idcmd.Keys, "orders": ordercmd.Run, "store": storecmd.Run,
			"members": zonecmd.Members, "zone": zonecmd.Zone},
		HelpText: `       linenloom demo                  simulated servers with traffic, and its outcome
       linenloom token sign|inspect    tokens that identify callers
       linenloom keys list|rotate      the keys that sign tokens
       linenloom orders list|show|settle|check|compact    the record of orders
       linenloom members               the instances of the installation, and their view of each zone
       linenloom zone out|hold|auto    take a zone out of use manually, or return it to automatic decisions
       linenloom store check|dump|repair    inspect or repair a log of the store
SIGHUP reloads the files, SIGTERM drains. See README.md and docs/ for the rest.
`,
	}
	if status := g.Main(os.Args[1:]); status != 0 {
		os.Exit(status)
	}
}

// processorName is the program with the external processor and membership. It is separate, since the
// libraries for these would cost linenloom megabytes that its memory limit does not allow (docs/extproc.md
// has the figures).
const processorName = "linenproc"

// execProcessor replaces this process by the other program, under the same process ID.
func execProcessor(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("[extproc] and [instances] are served by %s: %w", processorName, err)
	}
	path := filepath.Join(filepath.Dir(self), processorName)
	if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
		return fmt.Errorf("[extproc] and [instances] are served by %s, which must be in the same directory as this program (%s): %w", processorName, path, err)
	}
	return nil
}
