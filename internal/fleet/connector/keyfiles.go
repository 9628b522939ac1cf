package connector

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

// ErrKeyFiles reports key files that are missing or invalid.
var ErrKeyFiles = errors.New("key files cannot be used")

// keyFiles holds the certificate, private key and certificate authorities loaded
// from files. At each TLS handshake it reloads files that changed. While changed
// files are invalid, it keeps using the previous keys.
type keyFiles struct {
	paths parser.TLS
	audit *auditor.Trail

	mu          sync.Mutex
	stamps      [3]fileStamp // State of the Cert, Key and CA files when they were last read.
	cert        *tls.Certificate
	authorities *x509.CertPool
}

// fileStamp is the state of a file by which a change of its content is detected.
type fileStamp struct {
	modTime time.Time
	size    int64
}

// loadChanged reloads the files if they changed. It returns the certificate of
// this instance and the authorities that peers' certificates are checked against.
func (k *keyFiles) loadChanged() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var stamps [3]fileStamp
	for i, path := range []string{k.paths.Cert, k.paths.Key, k.paths.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return k.currentKeys(errors.Wrapf(ErrKeyFiles, "%v", err), k.stamps)
		}
		stamps[i] = fileStamp{info.ModTime(), info.Size()}
	}
	if stamps == k.stamps {
		return k.currentKeys(errors.Wrapf(ErrKeyFiles, "%s unchanged", k.paths.Cert), stamps)
	}
	cert, err := tls.LoadX509KeyPair(k.paths.Cert, k.paths.Key)
	if err != nil {
		return k.currentKeys(errors.Wrapf(ErrKeyFiles, "%s, %s: %v", k.paths.Cert, k.paths.Key, err), stamps)
	}
	pem, err := os.ReadFile(k.paths.CA)
	if err != nil {
		return k.currentKeys(errors.Wrapf(ErrKeyFiles, "%v", err), stamps)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return k.currentKeys(errors.Wrapf(ErrKeyFiles, "%s holds no certificate", k.paths.CA), stamps)
	}
	if k.cert != nil {
		k.auditChange("key files changed", "reloaded")
	}
	k.cert, k.authorities, k.stamps = &cert, authorities, stamps
	return k.cert, k.authorities, nil
}

// currentKeys returns the keys in use, or err if none were loaded yet. While keys
// are in use, it records err in the audit trail once for each change of the files.
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
	k.audit.RecordChange(auditor.Change{Component: "fleet", Subject: k.paths.Cert, Cause: cause, Before: "in use", After: after})
}

// serverConfig returns the TLS configuration for accepted connections.
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

// clientConfig returns the TLS configuration for dialed connections.
func (k *keyFiles) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetClientCertificate: k.clientCertificate,
		// Certificates carry no host name or address, because an instance may be
		// replaced by one at any address. InsecureSkipVerify turns off the check
		// of the host name; verifyServer checks the certificate chain.
		InsecureSkipVerify: true, VerifyConnection: k.verifyServer,
	}
}

func (k *keyFiles) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	cert, _, err := k.loadChanged()
	return cert, err
}

// verifyServer checks that an authority in use signed the peer's certificate.
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
