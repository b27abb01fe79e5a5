// Package keys creates and loads the certificates with which instances and operators authenticate each
// other. Each group has its own certificate authority (CA), which issues a certificate to every instance
// and operator.
//
// A certificate has the holder's name as its common name and the holder's role as its organizational
// unit: instance, operator or reader. An instance's certificate also has the name as a DNS name, which
// clients verify, so that one instance can't impersonate another.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

// Role determines what the holder of a certificate may do.
type Role string

// The roles. An operator may do everything that a reader may do.
const (
	RoleInstance Role = "instance"
	RoleOperator Role = "operator"
	RoleReader   Role = "reader"
)

// The types of the PEM blocks in the files.
const (
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY" // PKCS #8
)

const (
	backdate   = 5 * time.Minute // validity begins this long before the issue, because clocks differ
	serialBits = 120             // size of the random serial numbers
)

// The modes of the directory and files that KeyPair.Write creates.
const (
	directoryMode   = 0o700
	keyMode         = 0o600
	certificateMode = 0o644
)

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidateName returns an error if a certificate can't be issued for the name.
func ValidateName(name string) error {
	if !validName.MatchString(name) {
		return fmt.Errorf("invalid name %q: want 1 to 63 lowercase letters, digits and inner hyphens", name)
	}
	return nil
}

// KeyPair is a PEM-encoded certificate with its private key.
type KeyPair struct{ Cert, Key []byte }

func newSerialNumber() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

// NewCA creates a certificate authority that is valid until now plus validity.
func NewCA(name string, now time.Time, validity time.Duration) (*KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := newSerialNumber()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return encodePair(der, key)
}

// Issue issues a certificate for a holder. It is valid until now plus validity, but not longer than the
// CA certificate p. It fails if the name or role is invalid or p is not a CA certificate.
func (p *KeyPair) Issue(name string, role Role, now time.Time, validity time.Duration) (*KeyPair, error) {
	if err := ValidateName(name); err != nil {
		return nil, err
	}
	if role != RoleInstance && role != RoleOperator && role != RoleReader {
		return nil, fmt.Errorf("role %q must be instance, operator or reader", role)
	}
	ca, err := p.Certificate()
	if err != nil {
		return nil, err
	}
	caKey, err := p.privateKey()
	if err != nil {
		return nil, err
	}
	if !ca.IsCA {
		return nil, fmt.Errorf("the certificate of %q is not a CA certificate", ca.Subject.CommonName)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := leafTemplate(name, role)
	if err != nil {
		return nil, err
	}
	template.NotBefore, template.NotAfter = now.Add(-backdate), now.Add(validity)
	if template.NotAfter.After(ca.NotAfter) {
		template.NotAfter = ca.NotAfter
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		return nil, err
	}
	return encodePair(der, key)
}

// leafTemplate returns the template of a holder's certificate without its validity period.
func leafTemplate(name string, role Role) (*x509.Certificate, error) {
	serial, err := newSerialNumber()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	if role == RoleInstance {
		template.DNSNames = []string{name}
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	return template, nil
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (*KeyPair, error) {
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return &KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: pkcs8}),
	}, nil
}

// Certificate parses the certificate.
func (p *KeyPair) Certificate() (*x509.Certificate, error) {
	block, _ := pem.Decode(p.Cert)
	if block == nil || block.Type != certificateBlock {
		return nil, errors.New("no PEM certificate found")
	}
	return x509.ParseCertificate(block.Bytes)
}

func (p *KeyPair) privateKey() (any, error) {
	block, _ := pem.Decode(p.Key)
	if block == nil || block.Type != privateKeyBlock {
		return nil, errors.New("no PEM private key found")
	}
	return x509.ParsePKCS8PrivateKey(block.Bytes)
}

// Write writes name.crt, and name.key readable by its owner only, and creates the directory if needed.
// If a file exists, Write replaces it if replace is set and otherwise fails.
func (p *KeyPair) Write(dir, name string, replace bool) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	for _, f := range []struct {
		path    string
		mode    os.FileMode
		content []byte
	}{
		{filepath.Join(dir, name+".key"), keyMode, p.Key},
		{filepath.Join(dir, name+".crt"), certificateMode, p.Cert},
	} {
		if _, err := os.Stat(f.path); err == nil && !replace {
			return fmt.Errorf("%s already exists; use --replace to overwrite it", f.path)
		}
		// The rename makes the change atomic: a running instance may read the files at any time and must
		// not see a partial one.
		tmp := f.path + ".tmp"
		if err := os.WriteFile(tmp, f.content, f.mode); err != nil {
			return err
		}
		if err := os.Rename(tmp, f.path); err != nil {
			return err
		}
	}
	return nil
}

// ReadKeyPair reads the files that KeyPair.Write has written.
func ReadKeyPair(certPath, keyPath string) (*KeyPair, error) {
	cert, err := os.ReadFile(certPath)
	if err != nil {
		return nil, err
	}
	key, err := os.ReadFile(keyPath)
	if err != nil {
		return nil, err
	}
	return &KeyPair{cert, key}, nil
}

// RoleOf returns the role in a verified certificate, or an empty role if it has none or several.
func RoleOf(c *x509.Certificate) Role {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return ""
	}
	return Role(c.Subject.OrganizationalUnit[0])
}
