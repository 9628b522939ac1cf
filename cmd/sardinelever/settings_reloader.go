package main

import (
	"bytes"
	"os"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
)

// settingsReloader reads the settings file again at each signal, and when the file has
// changed without one. Settings that the instance can change while it runs take effect; the
// others do at the next start.
type settingsReloader struct {
	path     string
	instance *runner.Instance
	signals  chan os.Signal
	text     []byte // Text of the file that was read last.
}

// settingsCheckPeriod is the time between two looks at the settings file. A file that would
// not start the instance is then known before the next start.
const settingsCheckPeriod = 10 * time.Second

// run reloads the settings at each signal and each change of the file. Settings that cannot
// be used are logged and ignored.
func (s *settingsReloader) run() {
	t := time.NewTicker(settingsCheckPeriod)
	defer t.Stop()
	for {
		select {
		case <-s.signals:
			s.reload(true)
		case <-t.C:
			s.reload(false)
		}
	}
}

// reload reads the settings and applies them if they have changed or forced is set.
func (s *settingsReloader) reload(forced bool) {
	text, err := os.ReadFile(s.path)
	if err == nil && !forced && bytes.Equal(text, s.text) {
		return
	}
	s.text = text
	var settings *parser.Settings
	if err == nil {
		settings, err = parser.ParseSettings(s.path, text)
	}
	if err != nil {
		log.Error().Err(err).Str("file", s.path).Msg("instance: settings refused; the current settings stay in use")
		return
	}
	logWarnings(settings)
	s.instance.ReloadSettings(settings)
}

// logWarnings logs what was replaced or left out of s.
func logWarnings(s *parser.Settings) {
	for _, w := range s.Warnings {
		log.Warn().Str("key", w.Key).Int("line", w.Line).Str("reason", w.Reason).Msg("instance: setting replaced")
	}
}
