package main

// route describes a route of the configuration.
type route struct {
	host, prefix, kind string
	timeout, target    string
	priority, attempts int
	service            string
}

func (r route) record() map[string]any {
	return map[string]any{
		"Hostname": r.host, "Prefix": r.prefix, "RouteType": r.kind, "Timeout": r.timeout, "TargetLatency": r.target,
		"Priority": r.priority, "Service": r.service, "MaxAttempts": r.attempts,
	}
}

// configRecord returns the value of op/config.
func configRecord(version string, routes map[string]route, services ...string) map[string]any {
	rs, ss := map[string]any{}, map[string]any{}
	for name, r := range routes {
		rs[name] = r.record()
	}
	for _, s := range services {
		ss[s] = map[string]any{"HealthPath": "/healthz", "MaxConnections": 240, "Protocol": "h1", "Tls": false}
	}
	return map[string]any{
		"Version": version, "Routes": rs, "Services": ss,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	}
}
