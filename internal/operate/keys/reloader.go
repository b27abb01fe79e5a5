package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// checkInterval is the minimum time between two reads of the files.
	checkInterval = time.Second
	// expiryWarning is how long before a certificate expires a warning is logged.
	expiryWarning = 14 * 24 * time.Hour
)

// Files has the paths of a holder's certificate and key and of the trusted CA certificates.
type Files struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Reloader loads a holder's certificates and reloads them when the files change, so that they can be
// rotated without a restart. Invalid files are logged, and the previous certificates stay in use. Its
// methods may be called from any goroutine.
type Reloader struct {
	files Files
	log   logrus.FieldLogger

	mu        sync.Mutex
	checkedAt time.Time
	content   fileContent
	current   identity
}

// fileContent is the content of the files when they were last loaded.
type fileContent struct{ ca, cert, key []byte }

func (c fileContent) equal(other fileContent) bool {
	return bytes.Equal(c.ca, other.ca) && bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key)
}

// identity is a holder's certificate with the CA certificates that the holder trusts.
type identity struct {
	cert   *tls.Certificate
	caPool *x509.CertPool
}

// NewReloader loads the files. It fails if they are invalid.
func NewReloader(files Files, log logrus.FieldLogger) (*Reloader, error) {
	r := &Reloader{files: files, log: log}
	return r, r.reload()
}

// reload reads the files and starts to use them if they have changed and are valid.
func (r *Reloader) reload() error {
	content, err := r.files.read()
	if err != nil {
		return err
	}
	first := r.current.cert == nil
	if !first && content.equal(r.content) {
		return nil
	}
	id, err := r.files.parse(content)
	if err != nil {
		return err
	}
	r.content, r.current = content, id
	leaf := id.cert.Leaf
	entry := r.log.WithFields(
		logrus.Fields{"holder": leaf.Subject.CommonName, "expires": leaf.NotAfter.UTC()},
	)
	if !first {
		entry.Info("certificates reloaded")
	}
	if time.Until(leaf.NotAfter) < expiryWarning {
		entry.Warn("certificate expires soon or has expired")
	}
	return nil
}

func (f Files) read() (c fileContent, err error) {
	for _, file := range []struct {
		path    string
		content *[]byte
	}{{f.CA, &c.ca}, {f.Cert, &c.cert}, {f.Key, &c.key}} {
		if *file.content, err = os.ReadFile(file.path); err != nil {
			return c, fmt.Errorf("reading certificates and key: %w", err)
		}
	}
	return c, nil
}

// parse parses the files and checks that they match each other.
func (f Files) parse(c fileContent) (identity, error) {
	cert, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return identity{}, fmt.Errorf("%s and %s: %w", f.Cert, f.Key, err)
	}
	// All CA certificates in the file are trusted, so that a new CA can replace an old one.
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(c.ca) {
		return identity{}, fmt.Errorf("%s: no PEM certificate found", f.CA)
	}
	// This checks only that the files match. An expired certificate is not rejected here: the connection
	// that fails because of it reports it to the other side and to the operators.
	_, err = cert.Leaf.Verify(x509.VerifyOptions{
		Roots:       caPool,
		CurrentTime: cert.Leaf.NotBefore.Add(time.Second),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return identity{}, fmt.Errorf("%s was not issued by a CA in %s: %w", f.Cert, f.CA, err)
	}
	return identity{&cert, caPool}, nil
}

// latest returns the certificates in the files, or the last valid ones. It reads the files at most once
// per checkInterval.
func (r *Reloader) latest() identity {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		if err := r.reload(); err != nil {
			r.log.WithError(err).Error("certificates not reloaded")
		}
	}
	return r.current
}

// Identity returns the holder's name and role.
func (r *Reloader) Identity() (string, Role) {
	leaf := r.latest().cert.Leaf
	return leaf.Subject.CommonName, RoleOf(leaf)
}
