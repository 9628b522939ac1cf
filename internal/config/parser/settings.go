package parser

import "net/netip"

// Settings configures one instance of the load balancer.
type Settings struct {
	Name     string         `toml:"name"`
	Zone     string         `toml:"zone"`
	Region   string         `toml:"region,omitempty"` // Empty means "home".
	Callers  netip.AddrPort `toml:"callers"`          // Listen address for callers.
	Peers    netip.AddrPort `toml:"peers"`            // Listen address for other instances.
	Operator netip.AddrPort `toml:"operator"`         // Listen address for operators.
	Platform string         `toml:"platform"`         // Base URL of the platform.
	Notice   Duration       `toml:"notice,omitempty"` // Time for which the instance accepts calls after it has reported that it is not ready; 0 means 5s.
	Plain    bool           `toml:"plain,omitempty"`  // Allows unencrypted connections between instances.
	Margin   Duration       `toml:"margin,omitempty"` // Rules.Margin of package deduper: at least the lag of the platform's list of instances + twice the clock error + 15s; 0 means 30s.
	Policy   string         `toml:"policy,omitempty"` // How a backend server is selected: grant, random, round or least; empty means grant.
	Level    string         `toml:"level,omitempty"`  // Lowest level of log lines that are written: debug, info, warn or error; empty means info.
	TLS      TLS            `toml:"tls,omitempty"`

	Seeds   []netip.AddrPort `toml:"seeds,omitempty"`   // Instances to ask for the list of instances if that of the platform is empty.
	Dialect string           `toml:"dialect,omitempty"` // Formats of platform data and of call headers: native or cymdeithas; empty means native.
	Grace   Duration         `toml:"grace,omitempty"`   // Time between SIGTERM and the forced end of the process; 0 means none.
	Memory  Figure           `toml:"memory,omitempty"`  // Memory of the process in MB; 0 means no limit.
	Collect int              `toml:"collect,omitempty"` // Growth of the heap between garbage collections in percent; 0 means that of the Go runtime.
	Terms   []string         `toml:"terms,omitempty"`   // What the platform states to be in force, in its own words; only the adapter of the platform reads it.
	// Descriptors is the most descriptors that the process may have open; 0 means no
	// limit.
	Descriptors Figure    `toml:"descriptors,omitempty"`
	Retry       Retry     `toml:"retry,omitempty"`
	Zones       Zones     `toml:"zones,omitempty"`
	Cold        ColdBound `toml:"cold,omitempty"`
	// Capacity is the processor time that the instance may use, relative to other
	// instances. Those with more of it take on more work for the others; 0 means
	// unknown.
	Capacity  Figure `toml:"capacity,omitempty"`
	Bootstrap bool   `toml:"bootstrap,omitempty"` // Set when the whole fleet starts for the first time.
	// Regions maps zones to regions, for platforms that report only the zone of a
	// backend server.
	Regions map[string]string `toml:"regions,omitempty"`

	Warnings []Mistake `toml:"-"` // What was replaced or left out of settings that a platform rendered.
}

// Retry limits the retries that all instances together send to one service in any
// window: Ratio x number of calls + Slack.
type Retry struct {
	Ratio  Option   `toml:"ratio,omitempty"`  // Not set means 0.20.
	Slack  Option   `toml:"slack,omitempty"`  // Not set means 10 for each instance.
	Window Duration `toml:"window,omitempty"` // 0 means 10s; only checked, because the limit that instances apply holds for windows of any length.
	Hedge  float64  `toml:"hedge,omitempty"`  // Share of the limit that hedges may use; 0 means that calls are not hedged.
}

// Zones says when calls leave their availability zone.
type Zones struct {
	Price Duration `toml:"price,omitempty"` // Delay that one MB between zones is worth; 0 means that calls which wait ask all zones.
}

// ColdBound limits the calls that all instances together send to one cold backend
// server in any second: Overage x rate of its service + Slack.
type ColdBound struct {
	Overage Option `toml:"overage,omitempty"` // Not set means no limit.
	Slack   Option `toml:"slack,omitempty"`   // Not set means 0.
}

// TLS names the files of certificate, key and CA certificates for the connections
// between instances.
type TLS struct {
	Cert string `toml:"cert,omitempty"`
	Key  string `toml:"key,omitempty"`
	CA   string `toml:"ca,omitempty"`
}
