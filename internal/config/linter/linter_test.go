package linter_test

import (
	"slices"
	"strings"
	"testing"

	"sardinelever.example/sardinelever/internal/config/linter"
	"sardinelever.example/sardinelever/internal/config/parser"
)

const service = "[[services]]\nname = 's'\nslots = 1\n"

// rule returns a rule for h/x/ with further keys; its part for s has the weight 1.
func rule(keys string) string {
	return "[[rules]]\nname = 'r'\nhost = 'h'\npath = '/x/'\nrank = 'normal'\n" + keys + "parts = [{service = 's', weight = 1}]\n"
}

// TestLintBundle guards against contradictions that are not reported, against findings
// at another place than the key, and against warnings on keys that the file leaves to
// their defaults.
func TestLintBundle(t *testing.T) {
	tests := []struct {
		name, text, want string // Each line of want starts with a finding up to its reason; the rest of the line is in the reason.
	}{
		{"plain", service + rule(""), ""},
		{"default deadline of the service", service + rule("deadline = '1m'\n"), ""},
		{"equal limits", "[limits]\nheader = 65536\nbody = 67108864\nread = '3s'\nidle = '3s'\n" + service + "[services.queue]\nbytes = 81920\n" +
			rule("deadline = '1s'\ntarget = '1s'\n"), ""},
		{"no rules", service + "hosts = ['h']\n[[services.routes]]\npath = '/'\nrank = 'normal'\n", ""},
		{"header", "[limits]\nheader = 65537\n" + service, "b:3: limits.header: above the 65536"},
		{"idle", "[limits]\nidle = '4s'\n" + service, "b:3: limits.idle: below the time of 5s"},
		{"read", "[limits]\nread = '2s'\nidle = '2s'\n" + service, ""},
		{"target", service + rule("deadline = '1s'\ntarget = '2s'\n"), "b:11: rules.target: above its deadline 1s"},
		{
			"rule deadline", service + "deadline = '1s'\n[[services.routes]]\npath = '/'\nrank = 'normal'\ndeadline = '2s'\n" + rule("deadline = '3s'\n"),
			"b:15: rules.deadline: above 2s\nb:6: services.routes: no effect",
		},
		{"names", service + rule("") + strings.Replace(rule(""), "/x/", "/y/", 1), "b:12: rules.name: name of rule r (h/x/)"},
		{"encoded", service + strings.Replace(rule(""), "/x/", "/x%20y/", 1), "b:8: rules.path: decoded"},
		{
			"parts", service + strings.Replace(service, "'s'", "'u'", 1) + strings.Replace(rule(""), "parts = [", "parts = [{service = 'u', weight = 0}, {service = 's', weight = 2}, ", 1),
			"b:13: rules.parts.weight: weight 0\nb:13: rules.parts.service: occurs twice\nb:6: services.name: no rule sends",
		},
		{"hosts", service + "hosts = ['h']\n" + rule(""), "b:5: services.hosts: no effect"},
		{"cold time", service + "cold = {time = '3s'}\n", "b:5: services.cold.time: without cold.rate"},
		{"cold rate", service + "cold = {rate = 2.5}\n", "b:5: services.cold.rate: cold.time is not set"},
		{"cold", service + "cold = {time = '3s', rate = 2.5}\n", ""},
		{"floors", service + "floors = {normal = 0.02}\n", "b:5: services.floors: larger share for patient"},
		{"probe total", service + "probe = {total = '9ms'}\n", "b:5: services.probe.total: budget of 10ms"},
		{"queue", service + "[services.queue]\nbytes = 81919\n", "b:6: services.queue.bytes: more than 81919"},
		{"probe age", service + "probe = {cost = '9ms', budget = '18ms', fresh = '8ms'}\n", "b:5: services.probe.fresh: older than 8ms"},
		{"small bodies", "[limits]\nbody = 1024\n" + service + "queue = {bytes = 17408}\n", ""},
		{
			"methods", service + "[[services.routes]]\npath = '/a'\nmethods = ['GET']\nrank = 'normal'\n[[services.routes]]\npath = '/ab'\nmethods = ['GET', 'POST']\nrank = 'normal'\n",
			"b:11: services.routes.methods: GET of route",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := []byte("version = 1\n" + test.text)
			b, err := parser.ParseBundle("b", text)
			if err != nil {
				t.Fatal(err)
			}
			compare(t, linter.LintBundle(b, parser.NewKeyLocator(parser.File{Name: "b", Text: text})), test.want)
		})
	}
}

// TestLintAttempts guards against rules whose attempts the instances never allow.
func TestLintAttempts(t *testing.T) {
	text := []byte("version = 1\n" + service + rule("attempts = 4\n"))
	b, err := parser.ParseBundle("b", text)
	if err != nil {
		t.Fatal(err)
	}
	keys := parser.NewKeyLocator(parser.File{Name: "b", Text: text})
	for slack, want := range map[parser.Option]string{
		{}: "", parser.Some(0): "b:10: rules.attempts: retry.slack 0 of instance i", parser.Some(2): "b:10: rules.attempts: retry.slack 2 of instance i",
		parser.Some(2.5): "b:10: rules.attempts: retry.slack 2.5 of instance i", parser.Some(3): "",
	} {
		compare(t, linter.LintAttempts(b, &parser.Settings{Name: "i", Retry: parser.Retry{Slack: slack}}, keys), want)
	}
}

// compare reports an error unless each line of want is the place of a warning in the
// same position, followed by a part of its reason.
func compare(t *testing.T, got []parser.Mistake, want string) {
	t.Helper()
	match := func(m parser.Mistake, line string) bool {
		place, ok := strings.CutSuffix(m.String(), m.Reason)
		reason, found := strings.CutPrefix(line, place)
		return ok && found && strings.Contains(m.Reason, reason)
	}
	lines := strings.FieldsFunc(want, func(r rune) bool { return r == '\n' })
	if !slices.EqualFunc(got, lines, match) {
		t.Errorf("got %v, want %v", (&parser.MistakesError{Mistakes: got}).Error(), want)
	}
}
