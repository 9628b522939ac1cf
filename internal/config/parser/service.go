package parser

import (
	"encoding"
	"time"
)

// Duration is a time.Duration that TOML files write as text, for example "250ms".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText encodes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes text in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Service says how one service is reached; it is the content of a service file.
type Service struct {
	Name        string   `toml:"name"`
	Hosts       []string `toml:"hosts,omitempty"`       // Host values of callers; empty means paths below /Name/.
	Slots       int      `toml:"slots"`                 // Calls that one backend server runs at a time.
	Connections int      `toml:"connections,omitempty"` // Connections to one backend server over the whole fleet; 0 means 250.
	Deadline    Duration `toml:"deadline,omitempty"`    // Default of the routes; 0 means 10s.
	Floors      Floors   `toml:"floors,omitempty"`
	Queue       Queue    `toml:"queue,omitempty"`
	Probe       Probe    `toml:"probe,omitempty"`
	Routes      []Route  `toml:"routes,omitempty"`
}

// Floors holds the shares of the slots that the lower ranks keep while higher ranks flood.
type Floors struct {
	Normal  float64 `toml:"normal,omitempty"`  // 0 means 0.10.
	Patient float64 `toml:"patient,omitempty"` // 0 means 0.05.
}

// Queue bounds the calls that wait for a slot.
type Queue struct {
	Calls int `toml:"calls,omitempty"` // Queued calls per slot of a pool; 0 means 64.
	Bytes int `toml:"bytes,omitempty"` // Body bytes that one instance holds for queued calls; 0 means 64 MiB.
}

// Probe says how and how much the backend servers of a service are measured.
type Probe struct {
	Path   string   `toml:"path,omitempty"`   // Path of the load endpoint; empty means /load.
	Budget Duration `toml:"budget,omitempty"` // Probe time per second and backend server over the whole fleet; 0 means 10ms.
	Cost   Duration `toml:"cost,omitempty"`   // Time that one probe costs a backend server; 0 means 1ms.
	Total  Duration `toml:"total,omitempty"`  // Probe time per second over all backend servers of the service; 0 means 100ms.
	Period Duration `toml:"period,omitempty"` // Time between two probes of a backend server; 0 means MinPeriod.
}

// Route gives the calls that match it their rank, deadline and whether they may be repeated.
type Route struct {
	Path       string   `toml:"path"`              // Path prefix after the service prefix.
	Methods    []string `toml:"methods,omitempty"` // Empty means every method.
	Rank       Rank     `toml:"rank"`
	Idempotent bool     `toml:"idempotent"`
	Deadline   Duration `toml:"deadline,omitempty"` // 0 means the service's.
}

// Bundle is one published configuration: every service of a deployment.
type Bundle struct {
	Version  uint64    `toml:"version"` // Version is above 0 and rises with each publication.
	Parent   uint64    `toml:"parent"`  // Parent is the version from which the bundle was made.
	Services []Service `toml:"services"`
}
