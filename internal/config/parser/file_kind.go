package parser

// FileKind is the kind of a configuration file.
type FileKind uint8

// The kinds of configuration files.
const (
	ServiceFile FileKind = iota
	BundleFile
	SettingsFile
)

// DetectFileKind returns the kind of a file. Bundles and settings are recognized by
// keys that no other kind has; any other text is taken as a service file.
func DetectFileKind(text []byte) FileKind {
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
