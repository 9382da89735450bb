// Package flags parses the flags of operator commands.
package flags

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// ErrUsage reports that the flags could not be parsed and that the cause has been printed.
var ErrUsage = errors.New("usage")

// Parse parses args. The required flags must be given, and no arguments may follow the flags.
func Parse(flagSet *flag.FlagSet, output io.Writer, args []string, required ...string) error {
	flagSet.SetOutput(output)
	if err := flagSet.Parse(args); err != nil {
		return ErrUsage // flagSet.Parse has printed the error
	}
	given := map[string]bool{}
	flagSet.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, name := range required {
		if !given[name] {
			return fmt.Errorf("-%s is missing", name)
		}
	}
	if flagSet.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flagSet.Arg(0))
	}
	return nil
}
