package scenarist

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

// ErrUnknownName reports a scenario or deployment that does not exist.
var ErrUnknownName = errors.New("name is unknown")

// scenario is a named experiment; run returns an error only when it could not
// be carried out, and records failed checks in the trial.
type scenario struct {
	name     string
	question string
	run      func(*Trial) error
}

// allScenarios returns the scenarios in the order in which they are listed.
func allScenarios() []scenario {
	return []scenario{
		{"overhead", "How much latency does an instance add to a call below saturation?", runOverhead},
		{"policy", "How close is the p99 of urgent calls at 80% of the slots to one central queue, and to the baselines?", runPolicy},
		{"bulkflood", "Does a flood of patient calls of 5 times capacity slow urgent calls?", runBulkFlood},
		{"urgentflood", "Do the lower ranks keep their floors in a flood of urgent calls of 5 times capacity?", runUrgentFlood},
		{"once", "Does a non-idempotent call run at most once while instances are killed and paused and callers retry?", runOnce},
		{"drain", "Do leaving backend servers and stopping instances cut off calls or receive new ones?", runDrain},
		{"silent", "Do reads stay served when open connections to backend servers go silent?", runSilent},
		{"config", "Is each change in force everywhere within 5 s, never an older one, while the platform service fails?", runConfiguration},
		{"probes", "Does measuring stay within the budget of each backend server in every second?", runProbes},
		{"split", "Do both sides serve, and is nothing wrong, while a zone is separated from the others?", runSplit},
		{"mishaps", "Is nothing wrong when two failures come at random times?", runTwoFailures},
		{"soak", "Is nothing wrong, and is all well again afterwards, when failures of all kinds come in series and overlap?", runSoak},
		{"capacity", "How do processor, memory and control traffic of an instance grow with services, backend servers and changes?", runCapacity},
	}
}

// maxScenarioDuration bounds the run of one scenario; Runner.SoakDuration is added
// to it.
const maxScenarioDuration = 57 * time.Second

// ListScenarios writes to w each scenario with the question that it answers.
func ListScenarios(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range allScenarios() {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", s.name, s.question)
	}
	_ = t.Flush()
}

// Runner runs scenarios; its fields are set before Run.
type Runner struct {
	Seed           uint64             // Seed of arrivals, service times and failures.
	InstanceCount  int                // Number of instances.
	DeploymentName string             // Name of the deployment: association or fondantier.
	Policy         string             // Dispatch policy of the instances; empty means all in turn in the scenario policy and grant in the others.
	ReportDir      string             // Folder for the report and the plot; empty means neither is written.
	Launcher       *launcher.Launcher // Its binary must be built before Run.
	SoakDuration   time.Duration      // How long the scenario soak causes failures; 0 means its default.
	Short          bool               // Shortens the run and reduces the load; measured targets are then printed but not judged.
	Output         io.Writer          // Receives the report.
}

// Run runs the named scenario and reports whether it passed.
func (r *Runner) Run(ctx context.Context, name string) (bool, error) {
	for _, s := range allScenarios() {
		if s.name == name {
			return r.runScenario(ctx, s)
		}
	}
	return false, errors.Wrapf(ErrUnknownName, "scenario %q", name)
}

func (r *Runner) runScenario(ctx context.Context, s scenario) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, maxScenarioDuration+r.SoakDuration)
	defer cancel()
	d := deployer.NewNamedDeployment(r.DeploymentName)
	if d == nil {
		return false, errors.Wrapf(ErrUnknownName, "deployment %q", r.DeploymentName)
	}
	t := &Trial{Runner: *r, scenarioName: s.name, ctx: ctx, deployment: d}
	if r.ReportDir != "" {
		file, err := os.Create(filepath.Join(r.ReportDir, s.name+".txt"))
		if err != nil {
			return false, errors.Wrap(err, "report")
		}
		defer func() { _ = file.Close() }()
		t.Output = io.MultiWriter(r.Output, file)
	}
	t.printf("%s: %s\n%s, %d instances, seed %d\n", s.name, s.question, d.Name, r.InstanceCount, r.Seed)
	if err := t.runAndStop(s); err != nil {
		t.printf("%s: fail %v\n", s.name, err)
		return false, err
	}
	return t.printResult(), nil
}

// runAndStop runs s and then stops everything that it started.
func (t *Trial) runAndStop(s scenario) error {
	defer t.stopClusters()
	err := s.run(t)
	if t.ctx.Err() != nil {
		return errors.Wrap(t.ctx.Err(), "trial was ended early")
	}
	return err
}
