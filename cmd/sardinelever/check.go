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
	dialectFlag
	Paths []string `arg:"" help:"Service files, folders of them, bundles or instance settings."`
}

// Run checks the files of all paths. It prints every mistake and every warning, and
// accepts the files if there are no mistakes.
func (c *checkCommand) Run() error {
	files, err := c.readFiles()
	if err != nil {
		return err
	}
	checker := fileChecker{dialect: &c.dialectFlag, count: make(map[parser.FileKind]int)}
	for _, f := range files {
		if err := checker.checkFile(f); err != nil {
			return err
		}
	}
	checker.checkServices()
	checker.lintAttempts()
	for _, w := range checker.warnings {
		w.Reason = "warning: " + w.Reason
		fmt.Fprintln(os.Stderr, w)
	}
	if len(checker.mistakes.Mistakes) > 0 {
		return printMistakes(&checker.mistakes)
	}
	fmt.Printf("accepted: %d service files, %d bundles, %d settings",
		checker.count[parser.ServiceFile], checker.count[parser.BundleFile], checker.count[parser.SettingsFile])
	if n := len(checker.warnings); n > 0 {
		fmt.Printf("; warnings: %d", n)
	}
	fmt.Println()
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

// Help returns the help text about the exit status.
func (checkCommand) Help() string {
	return "Exit status: 0 when the files are accepted; 1 when one is refused (every mistake is printed) or cannot be read; 2 for wrong arguments. Warnings, about entries without effect and limits that contradict each other, do not change it."
}
