package parser

// Kind is what a configuration file describes.
type Kind uint8

// The kinds of files.
const (
	ServiceFile Kind = iota
	BundleFile
	SettingsFile
)

// DetectKind tells the kind of a file by the keys that only its kind has. A
// file without any of them is taken as a service file.
func DetectKind(text []byte) Kind {
	lineByPath := newKeyIndex(text).lineByPath
	for _, key := range []string{"version", "parent", "services"} {
		if lineByPath[key] > 0 {
			return BundleFile
		}
	}
	for _, key := range []string{"platform", "callers", "peers", "zone"} {
		if lineByPath[key] > 0 {
			return SettingsFile
		}
	}
	return ServiceFile
}
