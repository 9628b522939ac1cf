package main

import (
	"os"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
)

// reloader reads the settings file again at each signal. What the instance can
// change while it runs takes effect; the rest waits for the next start.
type reloader struct {
	path    string
	runner  *runner.Runner
	signals chan os.Signal
}

func (r *reloader) loop() {
	for range r.signals {
		s, err := readSettings(r.path)
		if err != nil {
			log.Error().Err(err).Str("file", r.path).Msg("instance: settings refused, the ones in use stay")
			continue
		}
		r.runner.Reload(s)
	}
}

func readSettings(path string) (*parser.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parser.ParseSettings(path, text)
}
