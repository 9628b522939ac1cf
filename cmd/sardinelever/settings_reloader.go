package main

import (
	"os"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
)

// settingsReloader reads the settings file again at each signal. Settings that the
// instance can change while it runs take effect; the others do at the next start.
type settingsReloader struct {
	path     string
	instance *runner.Instance
	signals  chan os.Signal
}

// reloadOnSignal reloads the settings at each signal. Invalid settings are logged and
// ignored.
func (s *settingsReloader) reloadOnSignal() {
	for range s.signals {
		settings, err := readSettings(s.path)
		if err != nil {
			log.Error().Err(err).Str("file", s.path).Msg("instance: settings refused; the current settings stay in use")
			continue
		}
		s.instance.ReloadSettings(settings)
	}
}

func readSettings(path string) (*parser.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parser.ParseSettings(path, text)
}
