// Package keys makes and reads the certificates by which instances and operators authenticate each
// other: a small certificate authority (CA) of the group's own and, issued by it, a certificate for
// each.
//
// A certificate names its holder in the common name and the holder's role in the organizational
// unit: instance, operator or reader. An instance's certificate also has its name as a DNS name, so
// that one instance can't impersonate another.
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

// Role is what the holder of a certificate may do.
type Role string

// The roles. An operator may do all that a reader may.
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
	backdate   = 5 * time.Minute // a certificate is valid from before it is made, since clocks differ
	serialBits = 120             // of the random serial numbers
)

// The access to what KeyPair.Write writes.
const (
	directoryMode   = 0o700
	keyMode         = 0o600
	certificateMode = 0o644
)

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidateName returns why a certificate can't be issued for a name, or nil.
func ValidateName(name string) error {
	if !validName.MatchString(name) {
		return fmt.Errorf("%q is no name: small letters, digits and hyphens, up to 63", name)
	}
	return nil
}

// KeyPair is a certificate and its private key, in PEM.
type KeyPair struct{ Cert, Key []byte }

func newSerialNumber() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

// NewCA makes a certificate authority that is valid for a time from now on.
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

// Issue makes a certificate for a holder. It is valid for a time from now on, but not longer than the
// authority itself. It fails if the name or role is not valid or the pair is no authority's.
func (p *KeyPair) Issue(name string, role Role, now time.Time, validity time.Duration) (*KeyPair, error) {
	if err := ValidateName(name); err != nil {
		return nil, err
	}
	if role != RoleInstance && role != RoleOperator && role != RoleReader {
		return nil, fmt.Errorf("%q is no role: instance, operator or reader", role)
	}
	authority, err := p.Certificate()
	if err != nil {
		return nil, err
	}
	authorityKey, err := p.privateKey()
	if err != nil {
		return nil, err
	}
	if !authority.IsCA {
		return nil, fmt.Errorf("the certificate of %q is no authority's", authority.Subject.CommonName)
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
	if template.NotAfter.After(authority.NotAfter) {
		template.NotAfter = authority.NotAfter
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return nil, err
	}
	return encodePair(der, key)
}

// leafTemplate returns a holder's certificate without its times.
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
		return nil, errors.New("there is no certificate in PEM")
	}
	return x509.ParseCertificate(block.Bytes)
}

func (p *KeyPair) privateKey() (any, error) {
	block, _ := pem.Decode(p.Key)
	if block == nil || block.Type != privateKeyBlock {
		return nil, errors.New("there is no private key in PEM")
	}
	return x509.ParsePKCS8PrivateKey(block.Bytes)
}

// Write writes name.crt, and name.key for its owner alone, and makes the directory if there is none.
// Existing files are replaced only on request; otherwise they are an error.
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
			return fmt.Errorf("%s is there already; --replace writes over it", f.path)
		}
		// Hazard: a running instance reads these files at any time, so none is there in part.
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

// ReadKeyPair reads the files that Write wrote.
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

// RoleOf returns the role in a verified certificate; empty: it names none, or several.
func RoleOf(c *x509.Certificate) Role {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return ""
	}
	return Role(c.Subject.OrganizationalUnit[0])
}
