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
	Fill        float64  `toml:"fill,omitempty"`        // Share of the slots of a backend server that is used when it has 4 or more; 0 means all.
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
	// Fresh is the age up to which a load report decides about a grant; homes
	// probe a backend server whose report is older before they grant its slot.
	// 0 means that homes grant without probing.
	Fresh Duration `toml:"fresh,omitempty"`
}

// Route gives the calls that match it their rank, deadline and whether they may be repeated.
type Route struct {
	Path       string   `toml:"path"`              // Path prefix after the service prefix.
	Methods    []string `toml:"methods,omitempty"` // Empty means every method.
	Rank       Rank     `toml:"rank"`
	Idempotent bool     `toml:"idempotent"`
	Deadline   Duration `toml:"deadline,omitempty"` // 0 means the service's.
}

// Rule routes calls by host and path prefix to one or more services. Of the
// rules of a host, the one with the longest matching path counts. A bundle
// with rules admits no other calls.
type Rule struct {
	Name       string   `toml:"name"`
	Host       string   `toml:"host"`
	Path       string   `toml:"path"` // Path prefix; it begins and ends with a slash.
	Rank       Rank     `toml:"rank"`
	Idempotent bool     `toml:"idempotent"`
	Deadline   Duration `toml:"deadline,omitempty"` // Longest time for which a caller waits; 0 means 10s.
	Target     Duration `toml:"target,omitempty"`   // Time within which an answer is worth most; 0 means the deadline.
	Attempts   int      `toml:"attempts,omitempty"` // Backend servers to which one call may be sent; 0 means 2.
	Parts      []Part   `toml:"parts"`
}

// Part is the share of a rule's calls that one service gets: its weight over
// the sum of the weights.
type Part struct {
	Service string `toml:"service"`
	Weight  int    `toml:"weight"`
}

// Limits bound what callers may send; 0 means the limit of the instance.
type Limits struct {
	Header int      `toml:"header,omitempty"` // Bytes of a request header.
	Body   int      `toml:"body,omitempty"`   // Bytes of a request body.
	Read   Duration `toml:"read,omitempty"`   // Time for a request header.
	Idle   Duration `toml:"idle,omitempty"`   // Time for which a connection may stay idle.
}

// Bundle is one published configuration: every service of a deployment.
type Bundle struct {
	Version  uint64    `toml:"version"` // Version is above 0 and rises with each publication.
	Parent   uint64    `toml:"parent"`  // Parent is the version from which the bundle was made.
	Limits   Limits    `toml:"limits,omitempty"`
	Rules    []Rule    `toml:"rules,omitempty"`
	Services []Service `toml:"services"`
}
