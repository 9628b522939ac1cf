package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
)

type checkCommand struct {
	Paths []string `arg:"" help:"Service files, folders of them, bundles or instance settings."`
}

// Run checks the files of all paths. It prints every mistake, and accepts the files
// only if there are none.
func (c *checkCommand) Run() error {
	files, err := c.readFiles()
	if err != nil {
		return err
	}
	mistakes := new(parser.MistakesError)
	var services []parser.File
	count := make(map[parser.FileKind]int)
	for _, f := range files {
		kind := parser.DetectFileKind(f.Text)
		count[kind]++
		switch kind {
		case parser.BundleFile:
			if err := bundler.CheckBundleSize(f.Text); err != nil {
				return errors.Wrap(err, f.Name)
			}
			_, err = parser.ParseBundle(f.Name, f.Text)
		case parser.SettingsFile:
			_, err = parser.ParseSettings(f.Name, f.Text)
		case parser.ServiceFile:
			services = append(services, f)
			continue
		}
		appendMistakes(mistakes, err)
	}
	_, err = parser.ParseServices(services)
	appendMistakes(mistakes, err)
	if len(mistakes.Mistakes) > 0 {
		return printMistakes(mistakes)
	}
	fmt.Printf("accepted: %d service files, %d bundles, %d settings\n",
		count[parser.ServiceFile], count[parser.BundleFile], count[parser.SettingsFile])
	return nil
}

// readFiles returns the files of all paths. A folder is replaced by its *.toml files.
func (c *checkCommand) readFiles() ([]parser.File, error) {
	var files []parser.File
	for _, path := range c.Paths {
		names := []string{path}
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			if names, err = filepath.Glob(filepath.Join(path, "*.toml")); err != nil {
				return nil, err
			}
			if len(names) == 0 {
				return nil, errors.Wrapf(bundler.ErrNoServiceFiles, "%q", path)
			}
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			files = append(files, parser.File{Name: name, Text: text})
		}
	}
	return files, nil
}

// appendMistakes appends the mistakes in err to mistakes.
func appendMistakes(mistakes *parser.MistakesError, err error) {
	var m *parser.MistakesError
	if errors.As(err, &m) {
		mistakes.Mistakes = append(mistakes.Mistakes, m.Mistakes...)
	}
}

// Help returns the help text about the exit status.
func (checkCommand) Help() string {
	return "Exit status: 0 when the files are accepted; 1 when one is refused (every mistake is printed) or cannot be read; 2 for wrong arguments."
}
