package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/bundler"
)

type collectCommand struct {
	Folder string `arg:"" help:"Folder with one TOML file per service."`
	From   string `help:"Published bundle from which this one is made; without it the bundle is the first."`
	Number uint64 `help:"Version of the bundle; default is the next one after that of --from."`
	Out    string `help:"File for the bundle; without it the bundle is printed."`
}

// Run creates the bundle of the service files in Folder and writes it to Out or to
// standard output.
func (c *collectCommand) Run() error {
	parent := uint64(0)
	if c.From != "" {
		b, err := new(dialectFlag).readBundle(c.From)
		if err != nil {
			return printMistakes(err)
		}
		parent = b.Version
	}
	number := c.Number
	if number == 0 {
		number = parent + 1
	}
	if number <= parent {
		return errors.Errorf("version %d is not above version %d of %s", number, parent, c.From)
	}
	text, err := bundler.CollectServiceFiles(c.Folder, number, parent)
	if err != nil {
		return printMistakes(err)
	}
	if c.Out == "" {
		_, err = os.Stdout.Write(text)
		return err
	}
	if err := os.WriteFile(c.Out, text, 0o644); err != nil {
		return err
	}
	fmt.Printf("%s: version %v, parent %d, services: %d, size: %d of %d bytes\n", c.Out,
		bundler.Version{Number: number, Sum: bundler.Sum(text)}, parent, len(bundler.SplitSections(text))-1, len(text), bundler.MaxBundleBytes)
	return nil
}

// Help returns the help text about the exit status.
func (collectCommand) Help() string {
	return "Exit status: 0 when the bundle is written; 1 when a file is refused (every mistake is printed) or cannot be read or written; 2 for wrong arguments."
}
