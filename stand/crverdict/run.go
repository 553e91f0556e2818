package crverdict

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// Runner runs the tests of the module in the current folder. Set the fields before Run.
type Runner struct {
	// List is the file of known faults.
	List string
	// Apart are the packages whose tests run one after the other, after all others, since they
	// measure processes.
	Apart []string
	// Arguments are passed to go test in addition.
	Arguments []string
	Out, Err  io.Writer
}

// ErrFaults means that the verdict isn't success.
var ErrFaults = errors.New("tests failed that aren't known faults, or the list of these is out of date")

// Run prints the known faults, runs all tests and prints what isn't as listed. It returns
// ErrFaults in that case.
func (r *Runner) Run(ctx context.Context) error {
	file, err := os.Open(r.List)
	if err != nil {
		return err
	}
	defer file.Close()
	faults, err := ParseFaults(file)
	if err != nil {
		return fmt.Errorf("%s: %w", r.List, err)
	}
	for _, f := range faults {
		fmt.Fprintln(r.Out, f.Text)
	}
	together, apart, err := r.packages(ctx)
	if err != nil {
		return err
	}
	v := &Verdict{Faults: faults, Out: r.Out}
	if err := r.test(ctx, v, together); err != nil {
		return err
	}
	for _, p := range apart {
		if err := r.test(ctx, v, []string{"-p=1", "-parallel=1", p}); err != nil {
			return err
		}
	}
	if len(v.End()) > 0 {
		return ErrFaults
	}
	return nil
}

// packages returns the packages of the module: those whose tests run together, and those that
// run apart.
func (r *Runner) packages(ctx context.Context) (together, apart []string, err error) {
	command := exec.CommandContext(ctx, "go", "list", "./...")
	command.Stderr = r.Err
	out, err := command.Output()
	if err != nil {
		return nil, nil, fmt.Errorf("go list: %w", err)
	}
	for p := range strings.FieldsSeq(string(out)) {
		if slices.Contains(r.Apart, p) {
			apart = append(apart, p)
		} else {
			together = append(together, p)
		}
	}
	return together, apart, nil
}

// test runs go test and reads its events. The exit status isn't looked at, as known faults
// change it, too.
func (r *Runner) test(ctx context.Context, v *Verdict, arguments []string) error {
	command := exec.CommandContext(ctx, "go", slices.Concat([]string{"test", "-json", "-count=1", "-timeout=30m"}, r.Arguments, arguments)...)
	command.Stderr = r.Err
	events, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	readErr := v.Read(events)
	var exit *exec.ExitError
	if err := command.Wait(); err != nil && !errors.As(err, &exit) {
		return fmt.Errorf("go test: %w", err)
	}
	return readErr
}
