package scenarist_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"sardinelever.example/sardinelever/internal/load/scenarist"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

// TestShort guards against calls that run twice, are reported wrongly, are cut
// off or answered with another call's answer while instances, connections and
// backend servers fail. Counts decide, never durations.
func TestShort(t *testing.T) {
	l := &launcher.Launcher{Dir: t.TempDir()}
	if err := l.Build(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"once", "drain", "silent", "split", "mishaps", "soak"} {
		var out bytes.Buffer
		r := &scenarist.Runner{Seed: 1, Instances: 4, Deployment: "association", Short: true, Binary: l, Out: &out}
		ok, err := r.Run(context.Background(), name)
		if err != nil || !ok {
			t.Errorf("%s: got pass %v, error %v, want a pass\n%s", name, ok, err, &out)
		}
	}
}

// TestUnknown guards against a misspelled scenario that counts as passed.
func TestUnknown(t *testing.T) {
	r := &scenarist.Runner{Deployment: "association", Out: new(bytes.Buffer)}
	if ok, err := r.Run(context.Background(), "nonsense"); ok || err == nil {
		t.Errorf("got pass %v, error %v, want an error", ok, err)
	}
}

// TestList guards against a scenario without the question that it answers.
func TestList(t *testing.T) {
	var out bytes.Buffer
	scenarist.List(&out)
	for line := range strings.Lines(out.String()) {
		if !strings.HasSuffix(line, "?\n") {
			t.Errorf("got line %q, want a question at its end", line)
		}
	}
}
