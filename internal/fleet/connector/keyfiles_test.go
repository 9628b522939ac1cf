package connector_test

import (
	"os"
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/standin/certifier"
)

// issueKeyFiles writes a certificate, its key and the certificate of ca to dir.
func issueKeyFiles(t testing.TB, dir string, ca *certifier.CertificateAuthority) parser.TLS {
	t.Helper()
	files, err := ca.IssueFiles(dir)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// TestReloadKeyFiles guards against keys that stay in use after their files
// changed, and against an instance without keys after a file became invalid.
func TestReloadKeyFiles(t *testing.T) {
	dir := t.TempDir()
	files := issueKeyFiles(t, dir, &certifier.CertificateAuthority{})
	a := &connector.Connector{Name: "a", TLS: files}
	startConnector(t, a)
	next := &certifier.CertificateAuthority{}
	b := &connector.Connector{Name: "b", TLS: issueKeyFiles(t, t.TempDir(), next)}
	startConnector(t, b)
	open := func() bool {
		c, err := b.OpenStream(withTimeout(t), a.Addr(), connector.CallStream)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}
	if open() {
		t.Error("certificate of another authority was accepted")
	}
	issueKeyFiles(t, dir, next)
	waitUntil(t, "a session with the new keys", open)
	if err := os.WriteFile(files.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Redial(withTimeout(t), a.Addr()); err != nil {
		t.Errorf("invalid certificate file: got %v, want the previous keys in use", err)
	}
}

// TestMissingKeyFiles guards against an instance that starts without key files.
func TestMissingKeyFiles(t *testing.T) {
	co := &connector.Connector{Name: "a", TLS: parser.TLS{Cert: "absent", Key: "absent", CA: "absent"}}
	if err := co.Run(t.Context()); err == nil {
		t.Error("got no error, want one that names the file")
	}
}
