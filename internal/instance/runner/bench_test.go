package runner_test

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkCall measures a GET call that is sent directly to a backend server and
// one that is sent through an instance, which is the home of the pool. Both use
// loopback and the same fault injector, so the difference is the cost of the
// instance and its additional connection.
func BenchmarkCall(b *testing.B) {
	d := startDeployment(b, 1)
	limited := &deployment{t: b, slots: 50, memory: 184}
	limited.start(1)
	for _, bc := range []struct{ name, url string }{
		{"direct", "http://" + d.firstServer.String()},
		{"instance", d.url},
		{"limited instance", limited.url}, // With an account of memory.
	} {
		b.Run(bc.name, func(b *testing.B) {
			for b.Loop() {
				resp, err := http.Get(bc.url + "/echo")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
