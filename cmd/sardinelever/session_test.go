package main_test

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// TestOperatorCommands guards against changes of the output of the commands that
// query an instance process. Values that differ between runs are replaced by words.
func TestOperatorCommands(t *testing.T) {
	d := startDeployment(t)
	d.startHeldCall(t)
	const file = "testdata/session.golden"
	want, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range want.Files {
		f := &want.Files[i]
		got := d.commandOutput(t, strings.Fields(f.Name)...)
		if strings.HasPrefix(f.Name, "audit") {
			got = sortLines(got) // The components of the instance start concurrently, in any order.
		}
		if got != string(f.Data) && os.Getenv("UPDATE") == "" {
			t.Errorf("%s: got\n%s\nwant\n%s", f.Name, got, f.Data)
		}
		f.Data = []byte(got)
	}
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(file, txtar.Format(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d.release <- true
	<-d.answer
}

// TestRefusedBundle guards against a published bundle whose refusal, or the reason
// for it, is missing from the status and the audit trail.
func TestRefusedBundle(t *testing.T) {
	d := startDeployment(t)
	d.testbed.Platform.PublishBundle([]byte("version = 2\nparent = 2\n"))
	text := d.commandOutput(t, "status")
	for !strings.Contains(text, "refused  version") {
		text = d.commandOutput(t, "status")
	}
	for _, want := range []string{
		"config  version=1  sum=SUM  ",
		"refused  version=2/SUM  source=platform  age=AGE  reason=bundle: services: is required; a bundle holds at least one service\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got status\n%s\nwant %q in it", text, want)
		}
	}
	const want = "TIME  config  bundle 2/SUM  refused, offered by platform: bundle: services: is required; a bundle holds at least one service; " +
		"bundle:2: parent: 2 is not below version 2  1/SUM  ->  1/SUM\n"
	if got := d.commandOutput(t, "audit"); !strings.Contains(got, want) {
		t.Errorf("got audit\n%s\nwant %q in it", got, want)
	}
}

// commandOutput runs a command that queries the instance, and returns its output with
// the texts replaced that differ between runs.
func (d *deployment) commandOutput(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.Command(d.binary, append(args, "--operator", d.Settings.Operator.String())...).CombinedOutput()
	if err != nil {
		t.Fatalf("%q: %v: %s", args, err, out)
	}
	text := string(out)
	for _, r := range variableTexts {
		text = r.pattern.ReplaceAllString(text, r.replacement)
	}
	return text
}

// variableTexts are the texts in the output that differ between runs.
var variableTexts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`(?m)^\d{4}-\d\d-\d\dT\S+Z`), "TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`incarnation=\d+`), "incarnation=NUMBER"},
	{regexp.MustCompile(`(sum=|\d/)[0-9a-f]{16}`), "${1}SUM"},
	{regexp.MustCompile(`\b(read|list|age|latency|wait)=[0-9.]+(ns|µs|ms|s)`), "$1=AGE"},
	{regexp.MustCompile(`\b(config|sent|skipped|in|out)=\d+`), "$1=COUNT"},
	{regexp.MustCompile(` {2,}`), "  "},
}

// sortLines sorts the lines of text.
func sortLines(text string) string {
	lines := strings.SplitAfter(text, "\n")
	slices.Sort(lines)
	return strings.Join(lines, "")
}
