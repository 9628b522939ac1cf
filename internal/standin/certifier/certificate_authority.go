package certifier

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
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// CertificateAuthority signs certificates of instances. The zero value is ready to use; it
// creates its own key and certificate at the first signing.
type CertificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// IssueFiles creates a key and a certificate that is valid for one hour, and writes
// both and the certificate of the authority to files in dir.
func (a *CertificateAuthority) IssueFiles(dir string) (parser.TLS, error) {
	files := parser.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	if a.cert == nil {
		cert, key, err := signCertificate(certificateTemplate(true), nil, nil)
		if err != nil {
			return files, err
		}
		a.cert, a.key = cert, key
	}
	cert, key, err := signCertificate(certificateTemplate(false), a.cert, a.key)
	if err != nil {
		return files, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, errors.Wrap(err, "key")
	}
	for _, file := range []struct {
		name string
		kind string
		der  []byte
	}{{files.Cert, "CERTIFICATE", cert.Raw}, {files.Key, "EC PRIVATE KEY", der}, {files.CA, "CERTIFICATE", a.cert.Raw}} {
		if err := os.WriteFile(file.name, pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.der}), 0o600); err != nil {
			return files, errors.Wrap(err, "write key or certificate file")
		}
	}
	return files, nil
}

// signCertificate returns a new certificate and its key. The certificate is signed with
// parentKey, or self-signed when parent is nil.
func signCertificate(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "key")
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, errors.Wrap(err, "certificate")
}

func certificateTemplate(isCA bool) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: "test"},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour), IsCA: isCA, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}
