package scenarist_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/load/scenarist"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

// TestScenariosShort guards against calls that run twice, are reported wrongly, are
// cut off or get another call's answer while instances, connections and backend
// servers fail. Only counts decide, so that a slow machine does not fail it.
func TestScenariosShort(t *testing.T) {
	l := &launcher.Launcher{Dir: t.TempDir()}
	if err := l.BuildBinary(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"once", "drain", "silent", "split", "mishaps", "soak"} {
		var out bytes.Buffer
		r := &scenarist.Runner{Seed: 1, InstanceCount: 4, DeploymentName: "association", Short: true, Launcher: l, Output: &out}
		ok, err := r.Run(context.Background(), name)
		if err != nil || !ok {
			t.Errorf("%s: got pass %v, error %v, want a pass\n%s", name, ok, err, &out)
		}
	}
}

// TestSoakSeeds guards against a return of the faults that these seeds of the
// scenario soak once found. It runs them in short form.
func TestSoakSeeds(t *testing.T) {
	l := &launcher.Launcher{Dir: t.TempDir()}
	if err := l.BuildBinary(); err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{
		200, // The trial waited for an instance that it had ended before it was ready.
		121, // The callers' HTTP client resent a call by itself; the refusal of the second sending was taken as false because the first had run.
		222, // The same cause as 121.
	} {
		var out bytes.Buffer
		r := &scenarist.Runner{Seed: seed, InstanceCount: 4, DeploymentName: "association", SoakDuration: 3 * time.Second, Short: true, Launcher: l, Output: &out}
		if ok, err := r.Run(context.Background(), "soak"); err != nil || !ok {
			t.Errorf("seed %d: got pass %v, error %v, want a pass\n%s", seed, ok, err, &out)
		}
	}
}

// TestRunUnknownScenario guards against a misspelled scenario name that counts as a
// pass.
func TestRunUnknownScenario(t *testing.T) {
	r := &scenarist.Runner{DeploymentName: "association", Output: new(bytes.Buffer)}
	if ok, err := r.Run(context.Background(), "nonsense"); ok || err == nil {
		t.Errorf("got pass %v, error %v, want an error", ok, err)
	}
}

// TestListQuestions guards against a scenario that is listed without its question.
func TestListQuestions(t *testing.T) {
	var out bytes.Buffer
	scenarist.ListScenarios(&out)
	for line := range strings.Lines(out.String()) {
		if !strings.HasSuffix(line, "?\n") {
			t.Errorf("got line %q, want a question at its end", line)
		}
	}
}
