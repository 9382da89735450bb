// Package flags reads the flags of commands that operators call by hand. It decides nothing else about them.
package flags

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// ErrUsage tells that the flags could not be read, and that why has been told.
var ErrUsage = errors.New("usage")

// Parse reads flags; those named must be given, and nothing else may follow them.
func Parse(f *flag.FlagSet, errs io.Writer, args []string, must ...string) error {
	f.SetOutput(errs)
	if err := f.Parse(args); err != nil {
		return ErrUsage // it has been told
	}
	given := map[string]bool{}
	f.Visit(func(g *flag.Flag) { given[g.Name] = true })
	for _, m := range must {
		if !given[m] {
			return fmt.Errorf("-%s is missing", m)
		}
	}
	if f.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", f.Arg(0))
	}
	return nil
}
