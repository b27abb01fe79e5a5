package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"
)

// alpnProtocol is the protocol negotiated by ALPN: gRPC uses HTTP/2.
const alpnProtocol = "h2"

// ServerTLSConfig returns the configuration of a listener that requires client certificates with one of
// the roles. Each new connection uses the certificates that are current at its handshake.
func (r *Reloader) ServerTLSConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		NextProtos: []string{alpnProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			id := r.latest()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       []string{alpnProtocol},
				Certificates:     []tls.Certificate{*id.cert},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        id.caPool,
				VerifyConnection: func(c tls.ConnectionState) error { return r.checkRole(c, roles) },
				// A resumed session would not verify the client's certificate again, even if it has expired.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// checkRole returns an error if the peer's certificate has none of the roles.
func (r *Reloader) checkRole(c tls.ConnectionState, roles []Role) error {
	peer := c.PeerCertificates[0]
	role := RoleOf(peer)
	if slices.Contains(roles, role) {
		return nil
	}
	err := fmt.Errorf("the certificate of %q has the role %q, want one of %v",
		peer.Subject.CommonName, role, roles)
	r.log.WithError(err).Warn("certificate rejected")
	return err
}

// ClientTLSConfig returns the configuration for connections to the named instance. Each new connection
// uses the certificates that are current at its handshake.
func (r *Reloader) ClientTLSConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		NextProtos: []string{alpnProtocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.latest().cert, nil
		},
		// The standard verification would use the CA certificates loaded at start. verifyInstance does the
		// verification with the current ones instead.
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

// verifyInstance checks that the server's certificate is valid and belongs to the named instance.
func (r *Reloader) verifyInstance(c tls.ConnectionState, name string) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("the server sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.latest().caPool,
		Intermediates: intermediates,
		DNSName:       name,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return err
	}
	return r.checkRole(c, []Role{RoleInstance})
}
