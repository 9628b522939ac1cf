package main_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// TestOperationsPage guards against log lines, metrics, reasons and causes of audit
// entries that the operators' page does not explain, and against log lines and
// metrics on the page that are no longer in the code.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	patterns := []*regexp.Regexp{
		regexp.MustCompile(`Msg\("([a-z]+: [^"]+)"\)`),
		regexp.MustCompile(`"(sardinelever_\w+)"`),
		regexp.MustCompile(`Reason: "([a-z]+)"`),
		regexp.MustCompile(`newFailure\(ctx, \w+, "([a-z]+)"`),
		regexp.MustCompile(`unknown\("([a-z]+)"\)`),
		regexp.MustCompile(`(?:report\.Reason|reason) = .*"([a-z]+)"`),
		regexp.MustCompile(`(?:Full|Late|None) = "([a-z]+)"`),
	}
	found := 0
	for _, text := range readSources(t) {
		for _, p := range patterns {
			for _, m := range p.FindAllStringSubmatch(text, -1) {
				found++
				if !strings.Contains(string(page), "`"+m[1]+"`") {
					t.Errorf("docs/OPERATIONS.md does not have `%s`", m[1])
				}
			}
		}
		for _, m := range causePattern.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(string(page), "`"+strings.TrimSpace(m[1])) {
				t.Errorf("docs/OPERATIONS.md does not have the cause `%s`", m[1])
			}
		}
	}
	code := strings.Join(readSources(t), "")
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z]+: [^`]+|sardinelever_\\w+)` \\|").FindAllSubmatch(page, -1) {
		if !strings.Contains(code, `"`+string(m[1])+`"`) {
			t.Errorf("docs/OPERATIONS.md has `%s`, which the code does not", m[1])
		}
	}
	if found < 40 {
		t.Errorf("got %d texts in the code, want at least 40", found)
	}
}

// causePattern matches the constant part at the start of the cause of an audit entry.
var causePattern = regexp.MustCompile(`(?:Cause: |note\((?:now, \w+|v|\w+\.version|"list"|\w+\.Name), )"([a-z][^"]*)`)

// TestExampleServiceFiles guards against service files in the documentation that the
// program refuses.
func TestExampleServiceFiles(t *testing.T) {
	block := regexp.MustCompile("(?s)```toml\n(.*?)```")
	for _, page := range []string{"../../README.md", "../../docs/settings.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		blocks := block.FindAllSubmatch(text, -1)
		if len(blocks) == 0 {
			t.Errorf("%s has no service file", page)
		}
		for _, b := range blocks {
			if _, err := parser.ParseService(page, b[1]); err != nil {
				t.Error(err)
			}
		}
	}
}

// readSources returns the source files of the program, without tests, stand-ins and
// load tests.
func readSources(t *testing.T) (texts []string) {
	for _, root := range []string{"../../internal", "../../platform", "."} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if name := d.Name(); d.IsDir() && (name == "standin" || name == "load") {
				return filepath.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			texts = append(texts, string(text))
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return texts
}
