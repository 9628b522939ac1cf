package bundler_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
)

// TestCollectServiceFiles guards against a bundle whose text depends on the order of
// the files, against reporting the mistakes of one file only, and against accepting a
// folder without service files.
func TestCollectServiceFiles(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "1.toml", "name = \"stock\"\nslots = 6\n")
	writeFile(t, dir, "2.toml", "name = \"prices\"\nslots = 6\n")
	text, err := bundler.CollectServiceFiles(dir, 4, 3)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), "version = 4\nparent = 3\n\n[[services]]\nname = 'prices'\nslots = 6\n\n[[services]]\nname = 'stock'\nslots = 6\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	writeFile(t, dir, "1.toml", "name = \"Stock\"\nslots = 6\n")
	writeFile(t, dir, "2.toml", "name = \"prices\"\nslots = 0\n")
	_, err = bundler.CollectServiceFiles(dir, 4, 3)
	var e *parser.MistakesError
	if !errors.As(err, &e) || len(e.Mistakes) != 2 {
		t.Errorf("got %v, want one mistake of each file", err)
	}
	if _, err := bundler.CollectServiceFiles(t.TempDir(), 1, 0); !errors.Is(err, bundler.ErrNoServiceFiles) {
		t.Errorf("got %v, want %v", err, bundler.ErrNoServiceFiles)
	}
}

// TestBundleSizeLimit guards against a bundle that is too large for the configuration
// service, and against an error that does not name the largest services.
func TestBundleSizeLimit(t *testing.T) {
	var services []parser.Service
	for i := range 7 {
		s := parser.Service{Name: fmt.Sprintf("s%d", i), Slots: 1}
		for j := range 1000 * i {
			s.Hosts = append(s.Hosts, fmt.Sprintf("%s-%040d.example", s.Name, j))
		}
		services = append(services, s)
	}
	_, err := bundler.BuildBundle(services, 1, 0)
	var e *bundler.SizeError
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a SizeError", err)
	}
	var names []string
	for _, s := range e.Largest {
		names = append(names, s.Service)
	}
	if want := []string{"s6", "s5", "s4", "s3", "s2"}; !slices.Equal(names, want) {
		t.Errorf("got %v, want %v", names, want)
	}
}

// TestSectionsRoundTrip guards against a bundle whose text, and with it the sum,
// changes when it is sent in sections.
func TestSectionsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"[[services]]", "[[services.routes]]", "name = 'a'", "", "version = 3", "\r", "x = '''"})
		text := []byte(strings.Join(rapid.SliceOf(line).Draw(t, "lines"), "\n"))
		sections := bundler.SplitSections(text)
		if got := bundler.JoinSections(sections); string(got) != string(text) {
			t.Fatalf("got %q, want %q", got, text)
		}
		cut := rapid.IntRange(0, len(sections)).Draw(t, "cut")
		available, sums := sections[:cut], bundler.SectionSums(sections)
		var received [][]byte
		for _, sum := range bundler.MissingSums(sums, available) {
			received = append(received, sections[slices.Index(sums, sum)])
		}
		got, err := bundler.AssembleBundle(sums, available, received)
		if err != nil || string(got) != string(text) {
			t.Fatalf("got %q and error %v, want %q", got, err, text)
		}
	})
}

// TestAssembleBundle guards against accepting a bundle with missing sections, and
// against running out of memory on a manifest that repeats the sum of one section.
func TestAssembleBundle(t *testing.T) {
	if _, err := bundler.AssembleBundle([]uint64{1}, nil, nil); !errors.Is(err, bundler.ErrMissingSection) {
		t.Errorf("got %v, want %v", err, bundler.ErrMissingSection)
	}
	section := make([]byte, bundler.MaxBundleBytes/2+1)
	sum := bundler.Sum(section)
	var e *bundler.SizeError
	if _, err := bundler.AssembleBundle([]uint64{sum, sum}, [][]byte{section}, nil); !errors.As(err, &e) {
		t.Errorf("got %v, want a SizeError", err)
	}
}

// TestVersionCompare guards against an order of versions that is not total: instances
// could then choose different bundles.
func TestVersionCompare(t *testing.T) {
	order := []bundler.Version{{}, {Number: 1, Sum: 9}, {Number: 2, Sum: 3}, {Number: 2, Sum: 1 << 63}, {Number: 1 << 40}}
	for i, v := range order {
		for j, w := range order {
			if got, want := v.Compare(w), max(-1, min(1, i-j)); got != want {
				t.Errorf("%v and %v: got %d, want %d", v, w, got, want)
			}
		}
	}
}

// TestDiffBundles guards against changes that are missing in the output.
func TestDiffBundles(t *testing.T) {
	oldBundle := &parser.Bundle{Services: []parser.Service{
		{Name: "a", Slots: 2, Routes: []parser.Route{{Path: "/x"}, {Path: "/y"}}}, {Name: "b", Slots: 1}, {Name: "c", Slots: 1},
	}}
	newBundle := &parser.Bundle{Services: []parser.Service{
		{Name: "a", Slots: 3, Hosts: []string{"h"}, Deadline: parser.Duration(time.Second), Routes: []parser.Route{{Path: "/x", Rank: parser.Patient}}},
		{Name: "b", Slots: 1},
		{Name: "d", Slots: 1},
	}}
	got, err := bundler.DiffBundles(oldBundle, newBundle)
	want := `~ a
    + deadline = "1s"
    + hosts = ["h"]
    routes.1.rank: "urgent" -> "patient"
    - routes.2.idempotent = false
    - routes.2.path = "/y"
    - routes.2.rank = "urgent"
    slots: 2 -> 3
- c
+ d
`
	if err != nil || got != want {
		t.Errorf("got %s and error %v, want %s", got, err, want)
	}
}

// TestDiffRulesAndLimits guards against a review in which changes of rules, weights of
// parts or limits do not appear, and against parts that are compared by position.
func TestDiffRulesAndLimits(t *testing.T) {
	services := []parser.Service{{Name: "a", Slots: 1}, {Name: "b", Slots: 1}, {Name: "c", Slots: 1}}
	oldBundle := &parser.Bundle{Services: services, Limits: parser.Limits{Header: 4096, Body: 100}, Rules: []parser.Rule{
		{Name: "r1", Host: "h", Path: "/x/", Attempts: 2, Target: parser.Duration(time.Second), Parts: []parser.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
		{Name: "r2", Host: "h", Path: "/y/", Parts: []parser.Part{{Service: "b", Weight: 1}}},
	}}
	newBundle := &parser.Bundle{Services: services, Limits: parser.Limits{Header: 8192, Idle: parser.Duration(time.Second)}, Rules: []parser.Rule{
		{Name: "r3", Host: "h", Path: "/", Parts: []parser.Part{{Service: "b", Weight: 1}}},
		{Name: "r1", Host: "h", Path: "/x/", Attempts: 3, Target: parser.Duration(time.Second), Parts: []parser.Part{{Service: "c", Weight: 5}, {Service: "a", Weight: 80}}},
	}}
	got, err := bundler.DiffBundles(oldBundle, newBundle)
	want := `~ limits of the bundle
    - body = 100
    header: 4096 -> 8192
    + idle = "1s"
+ rule r3 for h/
~ rule r1 for h/x/
    attempts: 2 -> 3
    weight of a: 90 -> 80
    - weight of b = 10
    + weight of c = 5
- rule r2 for h/y/
`
	if err != nil || got != want {
		t.Errorf("got %s and error %v, want %s", got, err, want)
	}
	if got, err := bundler.DiffBundles(newBundle, newBundle); got != "" || err != nil {
		t.Errorf("got %s and error %v for equal bundles, want neither", got, err)
	}
}

// writeFile writes text to the file name in dir.
func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
