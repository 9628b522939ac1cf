package main

import (
	"fmt"
	"os"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
)

type diffCommand struct {
	dialectFlag
	Before string `arg:"" help:"Bundle."`
	After  string `arg:"" help:"Bundle, or folder with one TOML file per service."`
}

// Run prints the differences of two bundles in limits, rules and services. Equal bundles are not an error.
func (c *diffCommand) Run() error {
	before, err := c.readBundle(c.Before)
	if err != nil {
		return printMistakes(err)
	}
	after, err := c.readAfter(before.Version)
	if err != nil {
		return printMistakes(err)
	}
	text, err := bundler.DiffBundles(before, after)
	if err != nil {
		return err
	}
	fmt.Printf("version %d -> %d, parent %d\n", before.Version, after.Version, after.Parent)
	if after.Parent != before.Version {
		fmt.Printf("note: %s was not made from version %d\n", c.After, before.Version)
	}
	if text == "" {
		text = "limits, rules and services are equal\n"
	}
	fmt.Print(text)
	return nil
}

// readAfter returns the bundle in After. If After is a folder, it returns the bundle
// of its service files as the successor of version parent.
func (c *diffCommand) readAfter(parent uint64) (*parser.Bundle, error) {
	info, err := os.Stat(c.After)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return c.readBundle(c.After)
	}
	text, err := bundler.CollectServiceFiles(c.After, parent+1, parent)
	if err != nil {
		return nil, err
	}
	return parser.ParseBundle(c.After, text)
}

// Help returns the help text about the exit status.
func (diffCommand) Help() string {
	return "Exit status: 0 when the bundles were compared, equal or not; 1 when one is refused or cannot be read; 2 for wrong arguments."
}
