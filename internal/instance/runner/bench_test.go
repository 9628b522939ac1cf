package runner_test

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkCall measures a read through an instance with its own home, and
// directly, over loopback and the same fault injector: the difference is what the
// filters and one more hop add.
func BenchmarkCall(b *testing.B) {
	d := startDeployment(b, 1)
	for _, bc := range []struct{ name, url string }{
		{"direct", "http://" + d.firstServer.String()},
		{"instance", d.url},
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
