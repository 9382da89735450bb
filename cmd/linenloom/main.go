// Command linenloom is the proxy: it reads its configuration, serves until it is told to stop, and ends
// once everything it has taken is answered.
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
		HelpText: `       linenloom demo                  a fleet of stand-ins, traffic, and what becomes of it
       linenloom token sign|inspect    tokens that prove callers
       linenloom keys list|rotate      the keys that sign them
       linenloom orders list|show|settle|check|compact    the record of orders
       linenloom members               the instances that know of one another, and what they make of each zone
       linenloom zone out|hold|auto    take a zone out of use by hand, or give it back
       linenloom store check|dump|repair    a log of the store
SIGHUP reads the files again, SIGTERM drains. README.md and docs/ tell the rest.
`,
	}
	if status := g.Main(os.Args[1:]); status != 0 {
		os.Exit(status)
	}
}

// processorName is the program with the external processor and with membership. It is one of its own, since the libraries that these need
// would cost this one megabytes that the platform does not have (docs/extproc.md has the figures).
const processorName = "linenproc"

// execProcessor becomes the other program, under the same process id.
func execProcessor(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("[extproc] and [instances] are served by %s: %w", processorName, err)
	}
	path := filepath.Join(filepath.Dir(self), processorName)
	if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
		return fmt.Errorf("[extproc] and [instances] are served by %s, which should stand beside this program (%s): %w", processorName, path, err)
	}
	return nil
}
