package linker

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// ErrKeys reports key files that cannot be used.
var ErrKeys = errors.New("key files cannot be used")

// keyFiles holds the loaded key files. It looks for changed files at each
// handshake, and keeps the old keys while the new files cannot be used.
type keyFiles struct {
	paths parser.TLS
	audit *auditor.Auditor

	mu          sync.Mutex
	stamps      [3]fileStamp
	cert        *tls.Certificate
	authorities *x509.CertPool
}

type fileStamp struct {
	modTime time.Time
	size    int64
}

// loadChanged returns the certificate of this instance and the pool of authorities.
func (k *keyFiles) loadChanged() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var stamps [3]fileStamp
	for i, path := range []string{k.paths.Cert, k.paths.Key, k.paths.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return k.currentKeys(errors.Wrapf(ErrKeys, "%v", err), k.stamps)
		}
		stamps[i] = fileStamp{info.ModTime(), info.Size()}
	}
	if stamps == k.stamps {
		return k.currentKeys(errors.Wrapf(ErrKeys, "%s unchanged", k.paths.Cert), stamps)
	}
	cert, err := tls.LoadX509KeyPair(k.paths.Cert, k.paths.Key)
	if err != nil {
		return k.currentKeys(errors.Wrapf(ErrKeys, "%s, %s: %v", k.paths.Cert, k.paths.Key, err), stamps)
	}
	pem, err := os.ReadFile(k.paths.CA)
	if err != nil {
		return k.currentKeys(errors.Wrapf(ErrKeys, "%v", err), stamps)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return k.currentKeys(errors.Wrapf(ErrKeys, "%s holds no certificate", k.paths.CA), stamps)
	}
	if k.cert != nil {
		k.auditChange("key files changed", "reloaded")
	}
	k.cert, k.authorities, k.stamps = &cert, authorities, stamps
	return k.cert, k.authorities, nil
}

// currentKeys returns the keys in use, or err without any. It audits err once for each
// change of the files.
func (k *keyFiles) currentKeys(err error, stamps [3]fileStamp) (*tls.Certificate, *x509.CertPool, error) {
	if k.cert == nil {
		return nil, nil, err
	}
	if stamps != k.stamps {
		k.stamps = stamps
		k.auditChange(err.Error(), "old keys kept")
	}
	return k.cert, k.authorities, nil
}

func (k *keyFiles) auditChange(cause, after string) {
	k.audit.Note(auditor.Change{Part: "fleet", Subject: k.paths.Cert, Cause: cause, Before: "in use", After: after})
}

func (k *keyFiles) serverConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: k.configForClient}
}

func (k *keyFiles) configForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	cert, authorities, err := k.loadChanged()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorities, SessionTicketsDisabled: true,
	}, nil
}

func (k *keyFiles) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetClientCertificate: k.clientCertificate,
		// Instances are replaced at any address, so certificates carry no
		// address to check; verify checks the chain.
		InsecureSkipVerify: true, VerifyConnection: k.verifyServer,
	}
}

func (k *keyFiles) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	cert, _, err := k.loadChanged()
	return cert, err
}

func (k *keyFiles) verifyServer(state tls.ConnectionState) error {
	_, authorities, err := k.loadChanged()
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(opts)
	if err != nil {
		return errors.Wrapf(ErrRefused, "certificate: %v", err)
	}
	return nil
}
