package controlapi

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// routeHost implements only ExplainRoute, which fails for a job without a class.
type routeHost struct{ Host }

var errNoClass = errors.New("the job has no class")

func (routeHost) ExplainRoute(in *schema.ExplainRouteRequest) (*schema.ExplainRouteReply, error) {
	if in.Class == "" {
		return nil, errNoClass
	}
	return &schema.ExplainRouteReply{}, nil
}

// serveSocket serves on a socket until the test ends, and returns a client.
func serveSocket(t *testing.T, path string) schema.ControlClient {
	t.Helper()
	log, _ := test.NewNullLogger()
	s := New(routeHost{}, log)
	if err := s.ServeSocket(path); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	client, closeClient, err := Dial(Target{Socket: path})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeClient() })
	return client
}

// The socket replaces the file that a killed process has left, only its owner can open it, and its callers
// have the role operator.
func TestSocketReplacesAStaleFileAndIsForItsOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.sock")
	if err := os.WriteFile(path, nil, 0o666); err != nil {
		t.Fatal(err)
	}
	client := serveSocket(t, path)
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode().Perm() != 0o600 {
		t.Errorf("the socket's mode is %v, want 0600", info.Mode())
	}
	ctx, cancel := WithCallTimeout(t.Context())
	defer cancel()
	_, err = client.ExplainRoute(ctx, &schema.ExplainRouteRequest{})
	if status.Code(err) != codes.InvalidArgument || status.Convert(err).Message() != errNoClass.Error() {
		t.Errorf("got error %v, want InvalidArgument with errNoClass", err)
	}
}

// Stop ends the serving goroutines and closes the socket.
func TestStopEndsTheListeners(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.sock")
	log, hook := test.NewNullLogger()
	s := New(routeHost{}, log)
	if err := s.ServeSocket(path); err != nil {
		t.Fatal(err)
	}
	s.Stop()
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		t.Error("the socket is open after the service has stopped")
	}
	if len(hook.AllEntries()) > 0 {
		t.Errorf("Stop logged %q", hook.LastEntry().Message)
	}
}

// withCertificate returns the context of a caller whose certificate has the role.
func withCertificate(role keys.Role) context.Context {
	subject := pkix.Name{CommonName: "someone", OrganizationalUnit: []string{string(role)}}
	state := tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: subject}}}
	return peer.NewContext(context.Background(), &peer.Peer{
		Addr:     &net.TCPAddr{},
		AuthInfo: credentials.TLSInfo{State: state},
	})
}

// Operators may call all methods, readers only those that read, and others none.
func TestMethodsAreForRoles(t *testing.T) {
	onSocket := peer.NewContext(context.Background(), &peer.Peer{Addr: &net.UnixAddr{Net: "unix"}})
	onTCP := peer.NewContext(context.Background(), &peer.Peer{Addr: &net.TCPAddr{}})
	for name, c := range map[string]struct {
		ctx        context.Context
		mayRead    bool
		mayOperate bool
	}{
		"on the socket":    {onSocket, true, true},
		"an operator":      {withCertificate(keys.RoleOperator), true, true},
		"a reader":         {withCertificate(keys.RoleReader), true, false},
		"an instance":      {withCertificate(keys.RoleInstance), false, false},
		"no role":          {withCertificate(""), false, false},
		"no certificate":   {onTCP, false, false},
		"not a connection": {context.Background(), false, false},
	} {
		log, hook := test.NewNullLogger()
		s := New(routeHost{}, log)
		for _, method := range schema.Control_ServiceDesc.Methods {
			full := "/" + schema.Control_ServiceDesc.ServiceName + "/" + method.MethodName
			want := c.mayOperate || c.mayRead && readerMethods[full]
			hook.Reset()
			err := s.authorize(c.ctx, full)
			if (err == nil) != want || err != nil && status.Code(err) != codes.PermissionDenied {
				t.Errorf("%s calls %s: got error %v, want none if allowed, else PermissionDenied",
					name, full, err)
			}
			if rejected := hook.LastEntry(); (rejected == nil) != want ||
				rejected != nil && rejected.Level != logrus.WarnLevel {
				t.Errorf("%s calls %s: logged %v, want a warning only for a rejected call",
					name, full, rejected)
			}
		}
	}
}

// Each kind of error has its own status code, which tells the caller whether anything was done.
func TestErrorsHaveTheStatusOfTheirKind(t *testing.T) {
	for want, err := range map[codes.Code]error{
		codes.OK:                 nil,
		codes.FailedPrecondition: &consensus.RejectedError{Reason: "x"},
		codes.DeadlineExceeded:   consensus.ErrOutcomeUnknown,
		codes.Unavailable:        consensus.ErrHalted,
	} {
		if got := statusError(err); status.Code(got) != want {
			t.Errorf("error %v: got status %v, want the code of its kind", err, got)
		}
	}
	if got := statusError(context.DeadlineExceeded); status.Code(got) != codes.DeadlineExceeded {
		t.Errorf("got status %v, want DeadlineExceeded", got)
	}
}

// A target needs a socket, or an address with an instance name and keys.
func TestDialRejectsIncompleteTargets(t *testing.T) {
	for name, target := range map[string]Target{
		"nothing":     {},
		"both":        {Socket: "s", Address: "127.0.0.1:1", InstanceName: "n1"},
		"no instance": {Address: "127.0.0.1:1"},
		"no keys":     {Address: "127.0.0.1:1", InstanceName: "n1"},
	} {
		if _, _, err := Dial(target); err == nil {
			t.Errorf("%s: the target was accepted", name)
		}
	}
}

// IDs are random: two of them differ.
func TestChangeIDsDiffer(t *testing.T) {
	first, err := NewChangeID()
	if err != nil {
		t.Fatal(err)
	}
	if second, err := NewChangeID(); err != nil || first == second || len(first) != 2*idBytes {
		t.Errorf("got IDs %q and %q and error %v, want two different ones", first, second, err)
	}
}

// A command's timeout is longer than the service's.
func TestCommandsWaitLongerThanTheService(t *testing.T) {
	ctx, cancel := WithCallTimeout(t.Context())
	defer cancel()
	deadline, ok := ctx.Deadline()
	if !ok || time.Until(deadline) <= callTimeout {
		t.Errorf("the deadline of the command is %v, want it later than callTimeout", deadline)
	}
}
