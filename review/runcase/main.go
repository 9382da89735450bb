// Command runcase starts the script of a case of the review and ends with its status.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
)

func main() {
	number := flag.Int("case", 1, "the `NUMBER` of the case")
	seed := flag.Uint64("seed", 1, "the seed of what the case draws")
	flag.Parse()
	cmd := exec.Command(filepath.Join("review", strconv.Itoa(*number), "run.sh"))
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.Env = append(os.Environ(), fmt.Sprintf("SEED=%d", *seed))
	err := cmd.Run()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		os.Exit(exit.ExitCode())
	case err != nil:
		fmt.Fprintln(os.Stderr, "runcase:", err)
		os.Exit(2)
	}
}
