package linker_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/linker"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func template(ca bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: ca, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newCA(t testing.TB) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template(true), template(true), &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert, key}
}

// issue writes key files signed by ca to dir.
func issue(t testing.TB, dir string, ca *authority) parser.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template(false), ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := parser.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	write := func(name, kind string, der []byte) {
		if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(files.Cert, "CERTIFICATE", der)
	write(files.Key, "EC PRIVATE KEY", keyDER)
	write(files.CA, "CERTIFICATE", ca.cert.Raw)
	return files
}

// TestReload guards against keys that stay in use after their files changed,
// and against an instance that loses its keys to a broken file.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	files := issue(t, dir, newCA(t))
	a := &linker.Linker{Name: "a", TLS: files}
	start(t, a)
	next := newCA(t)
	b := &linker.Linker{Name: "b", TLS: issue(t, t.TempDir(), next)}
	start(t, b)
	open := func() bool {
		c, err := b.Open(within(t), a.Addr(), linker.Call)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}
	if open() {
		t.Error("certificate of another authority was accepted")
	}
	issue(t, dir, next)
	eventually(t, "session with the new keys", open)
	if err := os.WriteFile(files.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Redial(within(t), a.Addr()); err != nil {
		t.Errorf("broken file: got %v, want the old keys in use", err)
	}
}

// TestNoKeys guards against an instance that starts without usable keys.
func TestNoKeys(t *testing.T) {
	l := &linker.Linker{Name: "a", TLS: parser.TLS{Cert: "absent", Key: "absent", CA: "absent"}}
	if err := l.Run(t.Context()); err == nil {
		t.Error("got no error, want one that names the file")
	}
}
