package parser

import (
	"encoding"
	"time"
)

// Duration is a time.Duration that is written as text in TOML files, for example
// "250ms".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText encodes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes text in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Service is the configuration of one service, the content of a service file.
type Service struct {
	Name        string   `toml:"name"`
	Hosts       []string `toml:"hosts,omitempty"`       // Values of the Host header that select the service; empty means that paths below /Name/ select it.
	Slots       int      `toml:"slots"`                 // Calls that one backend server runs at the same time.
	Connections int      `toml:"connections,omitempty"` // Connections of all instances together to one backend server; 0 means 250.
	Deadline    Duration `toml:"deadline,omitempty"`    // Deadline of routes that set none; 0 means 10s.
	Fill        float64  `toml:"fill,omitempty"`        // Share of the slots that is used of a backend server with 4 slots or more; 0 means all.
	Floors      Floors   `toml:"floors,omitempty"`
	Queue       Queue    `toml:"queue,omitempty"`
	Probe       Probe    `toml:"probe,omitempty"`
	Cold        Cold     `toml:"cold,omitempty"`
	Routes      []Route  `toml:"routes,omitempty"`
}

// Floors holds the shares of the slots that are reserved for the lower ranks when
// calls of higher ranks would use all slots.
type Floors struct {
	Normal  float64 `toml:"normal,omitempty"`  // 0 means 0.10.
	Patient float64 `toml:"patient,omitempty"` // 0 means 0.05.
}

// Queue limits the calls that wait for a slot.
type Queue struct {
	Calls int `toml:"calls,omitempty"` // Queued calls for each slot of a pool, the backend servers of the service in one availability zone; 0 means 64.
	Bytes int `toml:"bytes,omitempty"` // Bytes of request bodies that one instance buffers for queued calls; 0 means 64 MiB.
}

// Probe configures the probes that measure the load of the backend servers of a
// service. Cost, Budget and Total count the time of backend servers.
type Probe struct {
	Path   string   `toml:"path,omitempty"`   // URL path of the load endpoint; empty means /load.
	Budget Duration `toml:"budget,omitempty"` // Time per second that the probes of all instances take from one backend server; 0 means 10ms.
	Cost   Duration `toml:"cost,omitempty"`   // Time that one probe takes from a backend server; 0 means 1ms.
	Total  Duration `toml:"total,omitempty"`  // Time per second that probes take from all backend servers of the service together; 0 means 100ms.
	Period Duration `toml:"period,omitempty"` // Time between two probes of a backend server; 0 means the result of MinPeriod.
	// Fresh is the largest age of a load report on which a slot is granted. If the
	// report of a backend server is older, the home of its pool, the instance that
	// grants the slots, probes the server first. 0 means that slots are granted
	// without probing.
	Fresh Duration `toml:"fresh,omitempty"`
}

// Cold describes the backend servers of a service after a start.
type Cold struct {
	Time Duration `toml:"time,omitempty"` // Time for which a backend server is cold after a start.
	Rate float64  `toml:"rate,omitempty"` // Calls per second that a cold backend server sustains; 0 means no limit.
}

// Route sets rank and deadline of the calls that match it, and whether they are
// idempotent and may be repeated.
type Route struct {
	Path       string   `toml:"path"`              // Path prefix; the prefix of the service is removed before the match.
	Methods    []string `toml:"methods,omitempty"` // Empty matches every method.
	Rank       Rank     `toml:"rank"`
	Idempotent bool     `toml:"idempotent"`
	Deadline   Duration `toml:"deadline,omitempty"` // 0 means the deadline of the service.
}

// Rule routes calls by host and path prefix to one or more services. Of the rules
// of a host, the one with the longest matching path applies. If a bundle has rules,
// calls that match none of them are refused.
type Rule struct {
	Name       string   `toml:"name"`
	Host       string   `toml:"host"`
	Path       string   `toml:"path"` // Path prefix; it starts and ends with a slash.
	Rank       Rank     `toml:"rank"`
	Idempotent bool     `toml:"idempotent"`
	Deadline   Duration `toml:"deadline,omitempty"` // Longest time that a caller waits; 0 means 10s.
	Target     Duration `toml:"target,omitempty"`   // Time within which the caller prefers an answer; 0 means the deadline.
	Attempts   int      `toml:"attempts,omitempty"` // Largest number of backend servers to which one call is sent; 0 means 2.
	Bulk       bool     `toml:"bulk,omitempty"`     // The bodies of calls or responses are large: uploads or downloads.
	Parts      []Part   `toml:"parts"`
}

// Part assigns a share of the calls of a rule to one service: its weight divided by
// the sum of the weights of all parts.
type Part struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// Limits holds the limits for requests and connections of callers; 0 means the
// limit of the instance.
type Limits struct {
	Header int      `toml:"header,omitempty"` // Bytes of a request header.
	Body   int      `toml:"body,omitempty"`   // Bytes of a request body.
	Read   Duration `toml:"read,omitempty"`   // Time within which a request header must arrive.
	Idle   Duration `toml:"idle,omitempty"`   // Time for which a connection may stay idle.
}

// Bundle is one published configuration with all services of a deployment.
type Bundle struct {
	Version  uint64    `toml:"version"` // Above 0; rises with each publication.
	Parent   uint64    `toml:"parent"`  // Version from which the bundle was made.
	Limits   Limits    `toml:"limits,omitempty"`
	Rules    []Rule    `toml:"rules,omitempty"`
	Services []Service `toml:"services"`

	// Partial is set if the bundle was made from another format and some rule there could not
	// be read, so that a call without a rule may belong to it.
	Partial bool `toml:"-"`
	// Notes are about values of the other format that the bundle replaces by others.
	Notes []Mistake `toml:"-"`
}
