package parser_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// TestParseServiceReportsEveryMistake guards against a check that accepts an invalid
// value, reports only one of several mistakes, or reports the wrong line.
func TestParseServiceReportsEveryMistake(t *testing.T) {
	text := readTestdata(t, "wrong.toml")
	_, err := parser.ParseService("wrong.toml", text)
	if err == nil {
		t.Fatal("got no error")
	}
	if got, want := err.Error()+"\n", string(readTestdata(t, "wrong.txt")); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// TestServiceDefaults guards against required keys that a common service does not
// need, and against defaults that are missing or replace values of the file.
func TestServiceDefaults(t *testing.T) {
	s, err := parser.ParseService("short.toml", readTestdata(t, "short.toml"))
	if err != nil {
		t.Fatal(err)
	}
	s.Routes[0].Deadline = parser.Duration(time.Second)
	got := s.WithDefaults()
	want := parser.Service{
		Name: "guidance", Slots: 2, Connections: 250, Deadline: parser.Duration(10 * time.Second),
		Floors: parser.Floors{Normal: 0.10, Patient: 0.05},
		Queue:  parser.Queue{Calls: 64, Bytes: 64 << 20},
		Probe: parser.Probe{
			Path: "/load", Budget: parser.Duration(10 * time.Millisecond), Cost: parser.Duration(time.Millisecond),
			Total: parser.Duration(100 * time.Millisecond), Period: parser.Duration(1200 * time.Millisecond),
		},
		Routes: []parser.Route{
			{Path: "/lookup", Methods: []string{"GET"}, Idempotent: true, Deadline: parser.Duration(time.Second)},
			{Path: "/", Rank: parser.Normal, Deadline: parser.Duration(10 * time.Second)},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

const guidanceService = "name = \"guidance\"\nslots = 2\n"

// TestParseService guards against service files with one mistake that are accepted,
// or whose mistake is reported at the wrong line or key.
func TestParseService(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{guidanceService, ""},
		{guidanceService + "slots = 3", "f:3: slots: key slots is already defined"},
		{guidanceService + "slots.x = 3", "f:3: slots"},
		{guidanceService + "[floors]\nnormal = nan", "f:4: floors.normal: NaN is not between"},
		{guidanceService + "[floors]\npatient = 0", "f:4: floors.patient: 0 is not a floor"},
		{guidanceService + "[floors]\nnormal = 0.46", "f:3: floors: normal 0.46 and patient 0.05 sum to over 0.5"},
		{guidanceService + "[probe]\nbudget = \"1ms\"", "f:4: probe.budget: 1ms is below twice the cost of 1ms"},
		{guidanceService + "[[routes]]\npath = \"/\"", "f:3: routes.rank: is required"},
		{guidanceService + "[[routes]]\npath = \"/\"\nrank = \"urgent\"\n[[routes]]\npath = \"/a\"\nrank = \"normal\"", "f:6: routes: route \"/a\" can never match; earlier routes take its calls: /"},
		{guidanceService + "[[routes]]\npath = \"/\"\nrank = 7", "f:5: routes.rank: is a number; the value must be text in quotes"},
		{guidanceService + "deadline = 5000000", "f:3: deadline: is a number; the value must be text in quotes"},
		{guidanceService + "probe = { cost = 1 }", "f:3: probe.cost: is a number; the value must be text in quotes"},
		{guidanceService + "[cold]\ntime = \"3s\"\nrate = -2.5", "f:5: cold.rate: -2.5 is not between 0 and 1e+06"},
		{guidanceService + "connections = 1", "f:3: connections: 1 connections cannot serve 2 slots"},
		{"name = \"sardine\"\nslots = 1", "f:1: name: \"sardine\" is reserved"},
		{"slots = 1", "f: name: is required"},
		{"name = \"a\nslots = 1", "f:1: "},
		{guidanceService + "[probe]\n[probe]", "f:4: "},
	} {
		_, err := parser.ParseService("f", []byte(tc.text))
		checkErrorPrefix(t, tc.text, err, tc.want)
	}
}

// TestParseBundle guards against accepted bundles that instances cannot serve.
func TestParseBundle(t *testing.T) {
	service := "[[services]]\n" + guidanceService
	for _, tc := range []struct{ text, want string }{
		{"version = 2\nparent = 1\n" + service, ""},
		{"version = 2\nparent = 1\n", "f: services: is required"},
		{service, "f: version: is required"},
		{"version = 0\n" + service, "f:1: version: must be above 0"},
		{"version = 1\nparent = 1\n" + service, "f:2: parent: 1 is not below version 1"},
		{"version = 1\n" + service + service, "f:6: services.name: service guidance is already defined at f:3"},
		{"version = 1\n" + service + "hosts = [\"h\"]\n[[services]]\nname = \"b\"\nslots = 1\nhosts = [\"h\"]", "f:9: services.hosts: host h is already defined at f:5"},
	} {
		_, err := parser.ParseBundle("f", []byte(tc.text))
		checkErrorPrefix(t, tc.text, err, tc.want)
	}
}

// TestParseServicesSharedName guards against a service name that two files define,
// and against an unknown key that this mistake hides.
func TestParseServicesSharedName(t *testing.T) {
	_, err := parser.ParseServices([]parser.File{
		{Name: "one", Text: []byte(guidanceService)}, {Name: "two", Text: []byte("\n" + guidanceService + "blue = 1")},
	})
	checkErrorPrefix(t, "two files", err, "two:2: name: service guidance is already defined at one:1\ntwo:4: blue: unknown key")
}

// TestParseSettings guards against an instance that starts with settings with which
// it cannot serve calls, or with unencrypted connections to other instances although
// the settings do not have plain = true.
func TestParseSettings(t *testing.T) {
	t.Chdir(t.TempDir())
	for _, f := range []string{"c", "k"} {
		if err := os.WriteFile(f, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const base = "name = \"a1\"\nzone = \"a\"\ncallers = \"10.0.0.1:80\"\npeers = \"10.0.0.1:81\"\nplatform = \"http://p\"\n"
	for _, tc := range []struct{ text, want string }{
		{base + "plain = true", ""},
		{base, "f: tls.cert: is required unless plain = true\nf: tls.key: is required unless plain = true\nf: tls.ca: is required"},
		{base + "[tls]\ncert = \"c\"\nkey = \"k\"\nca = \"none\"", "f:9: tls.ca: file cannot be read"},
		{base + "plain = true\n[tls]\nkey = \"k\"", "f:8: tls.key: is not used with plain = true"},
		{base + "plain = true\noperator = \"10.0.0.1:81\"", "f:7: operator: 10.0.0.1:81 is already used by peers"},
		{base + "plain = true\nnotice = \"-1s\"", "f:7: notice: -1s is not between 1ms and 1h0m0s"},
		{base + "plain = true\nmargin = \"-1h\"", "f:7: margin: -1h0m0s is not between 15s and 10m0s"},
		{base + "plain = true\n[zones]\nprice = \"0s\"", ""},
		{base + "plain = true\n[zones]\nprice = \"2h\"", "f:8: zones.price: 2h0m0s is not between 0s and 1h0m0s"},
		{base + "plain = true\npolicy = \"fair\"", "f:7: policy: \"fair\" is none of grant, random, round, least"},
		{base + "plain = true\nlevel = \"loud\"", "f:7: level: \"loud\" is none of debug, info, warn, error"},
		{base + "plain = true\n[cold]\n", ""},
		{base + "plain = true\n[cold]\noverage = 1.5\nslack = 8", ""},
		{base + "plain = true\n[cold]\noverage = -1", "f:8: cold.overage: -1 is not between 0 and 1000"},
		{"plain = true\ncallers = \"host:80\"\npeers = \"0.0.0.0:1\"\nplatform = \"p\"", "f: name: is required\nf: zone: is required\nf:2: callers: "},
	} {
		_, err := parser.ParseSettings("f", []byte(tc.text))
		checkErrorPrefix(t, tc.text, err, tc.want)
	}
}

// checkErrorPrefix checks that the message of err starts with want, or that err is nil
// if want is empty.
func checkErrorPrefix(t *testing.T, text string, err error, want string) {
	t.Helper()
	if err == nil {
		if want != "" {
			t.Errorf("%q: got no error, want %q", text, want)
		}
		return
	}
	if got := err.Error(); want == "" || !strings.HasPrefix(got, want) {
		t.Errorf("%q: got %q, want %q", text, got, want)
	}
}

// readTestdata returns the content of a file in testdata.
func readTestdata(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// FuzzBundle guards against texts for which the parser panics, and against accepted
// bundles that differ after they were formatted and parsed again.
func FuzzBundle(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := parser.ParseBundle("f", text)
		if err != nil {
			return
		}
		formatted, err := parser.FormatBundle(b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := parser.ParseBundle("f", formatted)
		if err != nil || !reflect.DeepEqual(got, b) {
			t.Errorf("got %+v and error %v, want %+v from\n%s", got, err, b, formatted)
		}
	})
}

// FuzzService guards against texts for which the parser panics, and against errors
// that do not start with the name of the file.
func FuzzService(f *testing.F) {
	f.Add(readTestdata(f, "short.toml"))
	f.Add(readTestdata(f, "wrong.toml"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := parser.ParseService("f", text)
		if err != nil && !strings.HasPrefix(err.Error(), "f") {
			t.Errorf("got error %q without the file", err)
		}
	})
}
