// Package keys makes and reads the certificates that instances and operators know each
// other by: a small authority (CA) of the group's own and, from it, a certificate for each.
//
// A certificate names its holder in the common name and says in the organizational unit
// what the holder may do: instance, operator or reader. An instance's also has its name
// for a DNS name, so that one instance can't take another's place.
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

var names = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidateName says whether a name can be a holder's.
func ValidateName(name string) error {
	if !names.MatchString(name) {
		return fmt.Errorf("%q is no name: small letters, digits and hyphens, up to 63", name)
	}
	return nil
}

// KeyPair is a certificate and its key, in PEM.
type KeyPair struct{ Cert, Key []byte }

// backdate allows for clocks that differ.
const backdate = 5 * time.Minute

func serial() (*big.Int, error) { return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) }

// NewCA makes an authority that is good for so long from now on.
func NewCA(name string, now time.Time, life time.Duration) (*KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	n, err := serial()
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber:          n,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(life),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return pair(der, key)
}

// Issue makes a certificate for a holder.
func (ca *KeyPair) Issue(name string, role Role, now time.Time, life time.Duration) (*KeyPair, error) {
	if err := ValidateName(name); err != nil {
		return nil, err
	}
	if role != RoleInstance && role != RoleOperator && role != RoleReader {
		return nil, fmt.Errorf("%q is no role: instance, operator or reader", role)
	}
	parent, err := ca.Certificate()
	if err != nil {
		return nil, err
	}
	parentKey, err := ca.key()
	if err != nil {
		return nil, err
	}
	if !parent.IsCA {
		return nil, fmt.Errorf("the certificate of %q is no authority's", parent.Subject.CommonName)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	n, err := serial()
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: n, NotBefore: now.Add(-backdate), NotAfter: now.Add(life),
		Subject:  pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	if role == RoleInstance {
		t.DNSNames = []string{name}
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	if t.NotAfter.After(parent.NotAfter) {
		t.NotAfter = parent.NotAfter
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, err
	}
	return pair(der, key)
}

func pair(der []byte, key *ecdsa.PrivateKey) (*KeyPair, error) {
	k, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return &KeyPair{Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key: pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: k})}, nil
}

// Certificate reads the certificate.
func (p *KeyPair) Certificate() (*x509.Certificate, error) {
	block, _ := pem.Decode(p.Cert)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, errors.New("there is no certificate in PEM")
	}
	return x509.ParseCertificate(block.Bytes)
}

func (p *KeyPair) key() (any, error) {
	block, _ := pem.Decode(p.Key)
	if block == nil || block.Type != "PRIVATE KEY" {
		return nil, errors.New("there is no private key in PEM")
	}
	return x509.ParsePKCS8PrivateKey(block.Bytes)
}

// Write writes name.crt and name.key, the key for its owner alone. It does not replace
// files that are there unless told to.
func (p *KeyPair) Write(dir, name string, replace bool) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, f := range []struct {
		path string
		mode os.FileMode
		data []byte
	}{{filepath.Join(dir, name+".key"), 0o600, p.Key}, {filepath.Join(dir, name+".crt"), 0o644, p.Cert}} {
		if _, err := os.Stat(f.path); err == nil && !replace {
			return fmt.Errorf("%s is there already; --replace writes over it", f.path)
		}
		// Hazard: a running instance reads these files at any time, so none is there in part.
		tmp := f.path + ".tmp"
		if err := os.WriteFile(tmp, f.data, f.mode); err != nil {
			return err
		}
		if err := os.Rename(tmp, f.path); err != nil {
			return err
		}
	}
	return nil
}

// ReadKeyPair reads what Write wrote.
func ReadKeyPair(cert, key string) (*KeyPair, error) {
	c, err := os.ReadFile(cert)
	if err != nil {
		return nil, err
	}
	k, err := os.ReadFile(key)
	if err != nil {
		return nil, err
	}
	return &KeyPair{c, k}, nil
}

// RoleOf says what the holder of a verified certificate may do.
func RoleOf(c *x509.Certificate) Role {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return ""
	}
	return Role(c.Subject.OrganizationalUnit[0])
}
