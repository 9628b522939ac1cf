package bundler

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// MaxBundleBytes is the largest size of a bundle, which is that of a value in the
// configuration service.
const MaxBundleBytes = 1 << 20

// maxNamedServices is the largest number of services that a SizeError names.
const maxNamedServices = 5

// ErrNoServiceFiles reports a folder without service files.
var ErrNoServiceFiles = errors.New("folder holds no service file")

// SizeError reports a bundle that exceeds MaxBundleBytes.
type SizeError struct {
	Bytes   int           // Size of the bundle in bytes.
	Largest []ServiceSize // The largest services in descending order of size.
}

// ServiceSize is the size of the section of a service.
type ServiceSize struct {
	Service string
	Bytes   int
}

// Error returns the size, the limit and the largest services.
func (e *SizeError) Error() string {
	parts := make([]string, len(e.Largest))
	for i, s := range e.Largest {
		parts[i] = fmt.Sprintf("%s %d bytes", s.Service, s.Bytes)
	}
	return fmt.Sprintf("bundle has %d bytes, the limit is %d; largest services: %s", e.Bytes, MaxBundleBytes, strings.Join(parts, ", "))
}

// CollectServiceFiles returns the text of a bundle of the service files *.toml in
// folder. The error is a *parser.MistakesError with the mistakes of all files, a
// *SizeError, ErrNoServiceFiles or the error of reading a file.
func CollectServiceFiles(folder string, version, parent uint64) ([]byte, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		return nil, errors.Wrapf(err, "folder %q", folder)
	}
	if len(names) == 0 {
		return nil, errors.Wrapf(ErrNoServiceFiles, "%q", folder)
	}
	files := make([]parser.File, len(names))
	for i, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "service file")
		}
		files[i] = parser.File{Name: name, Text: text}
	}
	services, err := parser.ParseServices(files)
	if err != nil {
		return nil, err
	}
	return BuildBundle(services, version, parent)
}

// BuildBundle returns the text of a bundle with services in the order of their names.
// The error is a *parser.MistakesError or a *SizeError.
func BuildBundle(services []parser.Service, version, parent uint64) ([]byte, error) {
	sorted := slices.SortedFunc(slices.Values(services), func(a, b parser.Service) int { return cmp.Compare(a.Name, b.Name) })
	text, err := parser.FormatBundle(&parser.Bundle{Version: version, Parent: parent, Services: sorted})
	if err != nil {
		return nil, err
	}
	if err := CheckBundleSize(text); err != nil {
		return nil, err
	}
	_, err = parser.ParseBundle("bundle", text)
	return text, err
}

// CheckBundleSize returns a *SizeError if text exceeds MaxBundleBytes.
func CheckBundleSize(text []byte) error {
	if len(text) <= MaxBundleBytes {
		return nil
	}
	e := &SizeError{Bytes: len(text)}
	for i, s := range SplitSections(text) {
		if i > 0 {
			e.Largest = append(e.Largest, ServiceSize{Service: sectionServiceName(s, i), Bytes: len(s)})
		}
	}
	slices.SortStableFunc(e.Largest, func(a, b ServiceSize) int { return cmp.Compare(b.Bytes, a.Bytes) })
	e.Largest = e.Largest[:min(maxNamedServices, len(e.Largest))]
	return e
}

// sectionServiceName returns the name of the service in section, or its position i if
// it has none. The text is searched line by line, because an oversized bundle is not
// parsed.
func sectionServiceName(section []byte, i int) string {
	for line := range bytes.Lines(section) {
		if key, value, ok := bytes.Cut(line, []byte("=")); ok && string(bytes.TrimSpace(key)) == "name" {
			return string(bytes.Trim(bytes.TrimSpace(value), `"'`))
		}
	}
	return fmt.Sprintf("number %d", i)
}
