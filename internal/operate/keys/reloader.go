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
	// checkInterval is how often the files are read, at most.
	checkInterval = time.Second
	// expiryWarning is how long before a certificate's end its expiry is logged.
	expiryWarning = 14 * 24 * time.Hour
)

// Files are the paths of a holder's certificates and key.
type Files struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Reloader reads a holder's certificates, and reads them again when the files change, so that they
// are rotated without a restart. Files that are not valid change nothing, and are logged. Its
// methods may be called from any goroutine.
type Reloader struct {
	files Files
	log   logrus.FieldLogger

	mu        sync.Mutex
	checkedAt time.Time
	content   fileContent
	current   identity
}

// fileContent is what the files held when they were read.
type fileContent struct{ ca, cert, key []byte }

func (c fileContent) equal(other fileContent) bool {
	return bytes.Equal(c.ca, other.ca) && bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key)
}

// identity is a holder's certificate, and the authorities that it trusts.
type identity struct {
	cert        *tls.Certificate
	authorities *x509.CertPool
}

// NewReloader reads the files. It fails if they are not valid.
func NewReloader(files Files, log logrus.FieldLogger) (*Reloader, error) {
	r := &Reloader{files: files, log: log}
	return r, r.reload()
}

// reload reads the files, and uses them if they have changed and are valid.
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
			return c, fmt.Errorf("reading the keys: %w", err)
		}
	}
	return c, nil
}

// parse checks that the files belong together.
func (f Files) parse(c fileContent) (identity, error) {
	cert, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return identity{}, fmt.Errorf("%s and %s: %w", f.Cert, f.Key, err)
	}
	// All authorities in the file are trusted, so that one can replace another.
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(c.ca) {
		return identity{}, fmt.Errorf("%s: there is no certificate in PEM", f.CA)
	}
	// Only the files' own consistency is checked here: one that has expired must be reported to the other
	// side, and to the operators, by the connection that fails.
	_, err = cert.Leaf.Verify(x509.VerifyOptions{
		Roots:       authorities,
		CurrentTime: cert.Leaf.NotBefore.Add(time.Second),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return identity{}, fmt.Errorf("%s is not of the authority in %s: %w", f.Cert, f.CA, err)
	}
	return identity{&cert, authorities}, nil
}

// latest returns the certificates as they are now in the files, or were when those were last valid.
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
