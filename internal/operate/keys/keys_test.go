package keys

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newCA(t *testing.T, name string, now time.Time, validity time.Duration) *KeyPair {
	t.Helper()
	ca, err := NewCA(name, now, validity)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// newLeaf issues a certificate that is valid for an hour, writes its files and loads them.
func newLeaf(t *testing.T, ca *KeyPair, name string, role Role, now time.Time) *Reloader {
	t.Helper()
	dir := t.TempDir()
	p, err := ca.Issue(name, role, now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Write(dir, name, false); err != nil {
		t.Fatal(err)
	}
	caPath := filepath.Join(dir, "ca.crt")
	if err := os.WriteFile(caPath, ca.Cert, 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := NewReloader(Files{
		CA:   caPath,
		Cert: filepath.Join(dir, name+".crt"),
		Key:  filepath.Join(dir, name+".key"),
	}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// connect connects the client to the server as the named instance. It returns the client's error, or the
// server's if the client has none.
func connect(t *testing.T, server, client *Reloader, name string) error {
	t.Helper()
	serverConn, clientConn := connPair(t)
	done := make(chan error, 1)
	go func() {
		c := tls.Server(serverConn, server.ServerTLSConfig(RoleInstance))
		err := c.Handshake()
		if err == nil {
			_, err = c.Write([]byte("x"))
		}
		serverConn.Close()
		done <- err
	}()
	c := tls.Client(clientConn, client.ClientTLSConfig(name))
	err := c.Handshake()
	if err == nil {
		// In TLS 1.3 the client sees a rejection of its certificate only at its first read.
		_, err = c.Read(make([]byte, 1))
	}
	clientConn.Close()
	if serverErr := <-done; err == nil {
		err = serverErr
	}
	return err
}

// connPair returns the two ends of a loopback TCP connection. net.Pipe has no buffer: a TLS alert that
// the other side does not read yet would block both sides.
func connPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []net.Conn{server, client} {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		t.Cleanup(func() { c.Close() })
	}
	return server, client
}

func TestOnlyInstancesOfTheAuthorityConnect(t *testing.T) {
	now := time.Now()
	longAgo := now.Add(-48 * time.Hour)
	ca, foreign := newCA(t, "a", now, time.Hour), newCA(t, "b", now, time.Hour)
	oldCA := newCA(t, "a", longAgo, 1000*time.Hour)
	n1 := newLeaf(t, ca, "n1", RoleInstance, now)
	n2 := newLeaf(t, ca, "n2", RoleInstance, now)
	if err := connect(t, n1, n2, "n1"); err != nil {
		t.Errorf("two instances of one authority: %v", err)
	}
	for what, c := range map[string]struct {
		server, client *Reloader
		name           string
	}{
		"another's name":         {n1, n2, "n3"},
		"a foreign client":       {n1, newLeaf(t, foreign, "n2", RoleInstance, now), "n1"},
		"a foreign server":       {newLeaf(t, foreign, "n1", RoleInstance, now), n2, "n1"},
		"a reader as a peer":     {n1, newLeaf(t, ca, "desk", RoleReader, now), "n1"},
		"an operator as a peer":  {n1, newLeaf(t, ca, "op", RoleOperator, now), "n1"},
		"an operator's listener": {newLeaf(t, ca, "op", RoleOperator, now), n2, "op"},
		"an expired client": {newLeaf(t, oldCA, "n1", RoleInstance, now),
			newLeaf(t, oldCA, "n2", RoleInstance, longAgo), "n1"},
		"an expired server": {newLeaf(t, oldCA, "n1", RoleInstance, longAgo),
			newLeaf(t, oldCA, "n2", RoleInstance, now), "n1"},
	} {
		t.Run(what, func(t *testing.T) {
			if err := connect(t, c.server, c.client, c.name); err == nil {
				t.Error("the connection was accepted")
			}
		})
	}
}

func TestInvalidCertificatesAreNotIssued(t *testing.T) {
	now := time.Now()
	ca := newCA(t, "a", now, time.Hour)
	for _, name := range []string{"", "N1", "n 1", "-n", "n1.example", strings.Repeat("n", 64), "../n1"} {
		if _, err := ca.Issue(name, RoleInstance, now, time.Hour); err == nil {
			t.Errorf("a certificate was issued for the invalid name %q", name)
		}
	}
	if _, err := ca.Issue("n1", "king", now, time.Hour); err == nil {
		t.Error("a certificate was issued for an unknown role")
	}
	p, err := ca.Issue("n1", RoleInstance, now, 100*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	c, err := p.Certificate()
	if err != nil || c.NotAfter.After(now.Add(time.Hour+time.Second)) {
		t.Errorf("the certificate is valid until %v, error %v; want not longer than its CA", c.NotAfter, err)
	}
	if _, err := p.Issue("n2", RoleInstance, now, time.Hour); err == nil {
		t.Error("an instance's certificate was used to issue another one")
	}
	dir := t.TempDir()
	if err := p.Write(dir, "n1", false); err != nil {
		t.Fatal(err)
	}
	if err := p.Write(dir, "n1", false); err == nil {
		t.Error("existing files were replaced without replace")
	}
	if info, err := os.Stat(filepath.Join(dir, "n1.key")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the key's file is %v, error %v; want mode 0600", info.Mode(), err)
	}
}
