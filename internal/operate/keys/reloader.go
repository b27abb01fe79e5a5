package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Files are where a holder's keys are.
type Files struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Reloader reads a holder's keys and reads them anew when the files change, so that keys are
// rotated without a restart. Files that are no good change nothing, and are logged.
type Reloader struct {
	files Files
	log   logrus.FieldLogger

	mu     sync.Mutex
	looked time.Time
	raw    [3][]byte
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// lookEvery is how often the files are looked at, at the most.
const lookEvery = time.Second

// NewReloader reads the files.
func NewReloader(files Files, log logrus.FieldLogger) (*Reloader, error) {
	s := &Reloader{files: files, log: log}
	return s, s.read()
}

func (s *Reloader) read() error {
	var raw [3][]byte
	for i, path := range []string{s.files.CA, s.files.Cert, s.files.Key} {
		b, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("reading the keys: %w", err)
		}
		raw[i] = b
	}
	if s.cert != nil && slices.EqualFunc(raw[:], s.raw[:], bytes.Equal) {
		return nil
	}
	cert, err := tls.X509KeyPair(raw[1], raw[2])
	if err != nil {
		return fmt.Errorf("%s and %s: %w", s.files.Cert, s.files.Key, err)
	}
	// Several authorities in one file are all believed, so that one can take another's place.
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw[0]) {
		return fmt.Errorf("%s: there is no certificate in PEM", s.files.CA)
	}
	// Only the files' own consistency is asked here: one that has expired must be told to
	// the other side, and to the operators, by the connection that fails.
	_, err = cert.Leaf.Verify(
		x509.VerifyOptions{Roots: pool, CurrentTime: cert.Leaf.NotBefore.Add(time.Second),
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}},
	)
	if err != nil {
		return fmt.Errorf("%s is not of the authority in %s: %w", s.files.Cert, s.files.CA, err)
	}
	first := s.cert == nil
	s.raw, s.cert, s.pool = raw, &cert, pool
	entry := s.log.WithFields(
		logrus.Fields{"holder": cert.Leaf.Subject.CommonName, "expires": cert.Leaf.NotAfter.UTC()},
	)
	if !first {
		entry.Info("the keys have changed")
	}
	if left := time.Until(cert.Leaf.NotAfter); left < 14*24*time.Hour {
		entry.Warn("the certificate expires soon, or has")
	}
	return nil
}

// current gives the keys as they stand.
func (s *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.looked) >= lookEvery {
		s.looked = now
		if err := s.read(); err != nil {
			s.log.WithError(err).Error("the keys stay as they were")
		}
	}
	return s.cert, s.pool
}

// Identity is the holder's, and Role what it may do.
func (s *Reloader) Identity() (string, Role) {
	cert, _ := s.current()
	return cert.Leaf.Subject.CommonName, RoleOf(cert.Leaf)
}

// ServerTLSConfig is the configuration of a listener that wants certificates of the given roles.
func (s *Reloader) ServerTLSConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
				Certificates: []tls.Certificate{
					*cert,
				}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
				VerifyConnection: func(c tls.ConnectionState) error { return s.role(c, roles) },
				// Hazard: a resumed session would go by a certificate that has expired since.
				SessionTicketsDisabled: true}, nil
		},
	}
}

func (s *Reloader) role(c tls.ConnectionState, roles []Role) error {
	peer := c.PeerCertificates[0]
	if role := RoleOf(peer); !slices.Contains(roles, role) {
		err := fmt.Errorf(
			"the certificate of %q is of the role %q, wanted is one of %v",
			peer.Subject.CommonName,
			role,
			roles,
		)
		s.log.WithError(err).Warn("a certificate is refused")
		return err
	}
	return nil
}

// ClientTLSConfig is the configuration for calling the instance of a name.
func (s *Reloader) ClientTLSConfig(name string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: name, NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// The standard check would go by the authorities as they were at the start.
		InsecureSkipVerify: true,
		VerifyConnection: func(c tls.ConnectionState) error {
			_, pool := s.current()
			if len(c.PeerCertificates) == 0 {
				return errors.New("no certificate came")
			}
			between := x509.NewCertPool()
			for _, cert := range c.PeerCertificates[1:] {
				between.AddCert(cert)
			}
			_, err := c.PeerCertificates[0].Verify(
				x509.VerifyOptions{Roots: pool, Intermediates: between, DNSName: name,
					KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}},
			)
			if err == nil {
				err = s.role(c, []Role{RoleInstance})
			}
			if err != nil {
				s.log.WithError(err).WithField("peer", name).Warn("a certificate is refused")
			}
			return err
		}}
}
