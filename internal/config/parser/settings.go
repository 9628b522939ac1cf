package parser

import "net/netip"

// Settings configures one entry instance.
type Settings struct {
	Name     string         `toml:"name"`
	Zone     string         `toml:"zone"`
	Region   string         `toml:"region,omitempty"` // Empty means "home".
	Callers  netip.AddrPort `toml:"callers"`          // Listener for callers.
	Peers    netip.AddrPort `toml:"peers"`            // Listener for other instances.
	Operator netip.AddrPort `toml:"operator"`         // Listener for operators.
	Platform string         `toml:"platform"`         // Base URL of the platform.
	Notice   Duration       `toml:"notice,omitempty"` // Time between readiness false and the end of accepting calls; 0 means 5s.
	Plain    bool           `toml:"plain,omitempty"`  // Plain allows unencrypted links between instances.
	Margin   Duration       `toml:"margin,omitempty"` // Lag of the platform's list, twice the clock error and 15s together; 0 means 30s.
	Policy   string         `toml:"policy,omitempty"` // Dispatch: grant, random, round or least; empty means grant.
	Level    string         `toml:"level,omitempty"`  // Least level of log lines: debug, info, warn or error; empty means info.
	TLS      TLS            `toml:"tls,omitempty"`

	Seeds   []netip.AddrPort `toml:"seeds,omitempty"`   // Instances to ask for the members when the platform lists none.
	Dialect string           `toml:"dialect,omitempty"` // Formats of the platform and of calls: native or cymdeithas; empty means native.
	Grace   Duration         `toml:"grace,omitempty"`   // Time between SIGTERM and the forced end of the process; 0 means none.
	Memory  int              `toml:"memory,omitempty"`  // Memory of the process in MB; 0 means no limit.
	Retry   Retry            `toml:"retry,omitempty"`
	// Regions maps zones to their regions, for platforms that name only the zones of backend servers.
	Regions map[string]string `toml:"regions,omitempty"`
}

// Retry bounds the repeats that all instances together send to one service in
// any window: ratio x calls + slack.
type Retry struct {
	Ratio  float64  `toml:"ratio,omitempty"`  // 0 means 0.20.
	Slack  int      `toml:"slack,omitempty"`  // 0 means 10 for each instance.
	Window Duration `toml:"window,omitempty"` // 0 means 10s; the bound that instances keep holds for windows of any length.
}

// TLS names the key files for links between instances.
type TLS struct {
	Cert string `toml:"cert,omitempty"`
	Key  string `toml:"key,omitempty"`
	CA   string `toml:"ca,omitempty"`
}
