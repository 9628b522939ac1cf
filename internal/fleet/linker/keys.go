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

// keys holds the loaded key files. It looks for changed files at each
// handshake, and keeps the old keys while the new files cannot be used.
type keys struct {
	files parser.TLS
	audit *auditor.Auditor

	mu     sync.Mutex
	stamps [3]stamp
	cert   *tls.Certificate
	pool   *x509.CertPool
}

type stamp struct {
	time time.Time
	size int64
}

// load returns the certificate of this instance and the pool of authorities.
func (k *keys) load() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var now [3]stamp
	for i, f := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		info, err := os.Stat(f)
		if err != nil {
			return k.keep(errors.Wrapf(ErrKeys, "%v", err), k.stamps)
		}
		now[i] = stamp{info.ModTime(), info.Size()}
	}
	if now == k.stamps {
		return k.keep(errors.Wrapf(ErrKeys, "%s unchanged", k.files.Cert), now)
	}
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return k.keep(errors.Wrapf(ErrKeys, "%s, %s: %v", k.files.Cert, k.files.Key, err), now)
	}
	text, err := os.ReadFile(k.files.CA)
	if err != nil {
		return k.keep(errors.Wrapf(ErrKeys, "%v", err), now)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return k.keep(errors.Wrapf(ErrKeys, "%s holds no certificate", k.files.CA), now)
	}
	if k.cert != nil {
		k.note("key files changed", "reloaded")
	}
	k.cert, k.pool, k.stamps = &cert, pool, now
	return k.cert, k.pool, nil
}

// keep returns the keys in use, or err without any. It audits err once for each
// change of the files.
func (k *keys) keep(err error, now [3]stamp) (*tls.Certificate, *x509.CertPool, error) {
	if k.cert == nil {
		return nil, nil, err
	}
	if now != k.stamps {
		k.stamps = now
		k.note(err.Error(), "old keys kept")
	}
	return k.cert, k.pool, nil
}

func (k *keys) note(cause, after string) {
	k.audit.Note(auditor.Change{Part: "fleet", Subject: k.files.Cert, Cause: cause, Before: "in use", After: after})
}

func (k *keys) server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: k.configure}
}

func (k *keys) configure(*tls.ClientHelloInfo) (*tls.Config, error) {
	cert, pool, err := k.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, SessionTicketsDisabled: true,
	}, nil
}

func (k *keys) client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetClientCertificate: k.certificate,
		// Instances are replaced at any address, so certificates carry no
		// address to check; verify checks the chain.
		InsecureSkipVerify: true, VerifyConnection: k.verify,
	}
}

func (k *keys) certificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	cert, _, err := k.load()
	return cert, err
}

func (k *keys) verify(s tls.ConnectionState) error {
	_, pool, err := k.load()
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(opts)
	if err != nil {
		return errors.Wrapf(ErrRefused, "certificate: %v", err)
	}
	return nil
}
