package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"
)

// protocol is what the connections carry: gRPC is HTTP/2.
const protocol = "h2"

// ServerTLSConfig returns the configuration of a listener that requires certificates of one of the
// roles. Each connection uses the certificates as they are when it is made.
func (r *Reloader) ServerTLSConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			id := r.latest()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       []string{protocol},
				Certificates:     []tls.Certificate{*id.cert},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        id.authorities,
				VerifyConnection: func(c tls.ConnectionState) error { return r.checkRole(c, roles) },
				// Hazard: a resumed session would use a certificate that has expired since.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// checkRole rejects a connection whose certificate has none of the roles.
func (r *Reloader) checkRole(c tls.ConnectionState, roles []Role) error {
	peer := c.PeerCertificates[0]
	role := RoleOf(peer)
	if slices.Contains(roles, role) {
		return nil
	}
	err := fmt.Errorf("the certificate of %q is of the role %q, wanted is one of %v",
		peer.Subject.CommonName, role, roles)
	r.log.WithError(err).Warn("certificate rejected")
	return err
}

// ClientTLSConfig returns the configuration for calling the instance of a name. Each connection uses
// the certificates as they are when it is made.
func (r *Reloader) ClientTLSConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		NextProtos: []string{protocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.latest().cert, nil
		},
		// The standard verification would use the authorities as they were at the start; verifyInstance
		// replaces it.
		InsecureSkipVerify: true,
		VerifyConnection: func(c tls.ConnectionState) error {
			err := r.verifyInstance(c, name)
			if err != nil {
				r.log.WithError(err).WithField("instance", name).Warn("certificate rejected")
			}
			return err
		},
	}
}

// verifyInstance checks that a server's certificate is valid and is the named instance's.
func (r *Reloader) verifyInstance(c tls.ConnectionState, name string) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("no certificate came")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.latest().authorities,
		Intermediates: intermediates,
		DNSName:       name,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return err
	}
	return r.checkRole(c, []Role{RoleInstance})
}
