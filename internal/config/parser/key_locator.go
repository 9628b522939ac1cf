package parser

// KeyLocator finds the lines of the keys of one file. A path consists of keys and the
// positions of array elements, for example "rules.3.target".
type KeyLocator struct {
	file  string
	index *keyIndex
}

// NewKeyLocator returns a locator of the keys in f.
func NewKeyLocator(f File) *KeyLocator {
	return &KeyLocator{file: f.Name, index: newKeyIndex(f.Text)}
}

// IsSet reports whether the file sets the key at path.
func (l *KeyLocator) IsSet(path string) bool { return l.index.lineByPath[path] > 0 }

// Locate returns a finding about the value at path with its place in the file.
func (l *KeyLocator) Locate(path, reason string) Mistake {
	return Mistake{File: l.file, Line: l.index.closestLine(path), Key: displayPath(path), Path: path, Reason: reason}
}
