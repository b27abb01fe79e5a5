package controlapi

import (
	"context"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// socketCaller is the name under which callers on the unix socket are recorded.
const socketCaller = "socket"

// readerMethods are the methods that readers may call. All others require an operator.
var readerMethods = map[string]bool{
	schema.Control_GetConfig_FullMethodName:    true,
	schema.Control_History_FullMethodName:      true,
	schema.Control_Watch_FullMethodName:        true,
	schema.Control_Status_FullMethodName:       true,
	schema.Control_Pending_FullMethodName:      true,
	schema.Control_Duties_FullMethodName:       true,
	schema.Control_ExplainRoute_FullMethodName: true,
}

// callerOf returns the caller's name and role, both empty if unknown.
func callerOf(ctx context.Context) (name string, role keys.Role) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", ""
	}
	if info, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(info.State.PeerCertificates) > 0 {
		certificate := info.State.PeerCertificates[0]
		return certificate.Subject.CommonName, keys.RoleOf(certificate)
	}
	if p.Addr.Network() == "unix" {
		return socketCaller, keys.RoleOperator // permission to open the socket file grants all methods
	}
	return "", ""
}

// authorize returns an error unless the caller may call the method.
func (s *Server) authorize(ctx context.Context, method string) error {
	name, role := callerOf(ctx)
	if role == keys.RoleOperator || role == keys.RoleReader && readerMethods[method] {
		return nil
	}
	s.log.WithFields(logrus.Fields{"caller": name, "role": role, "method": method}).Warn("call rejected")
	return status.Errorf(codes.PermissionDenied,
		"%s is for operators; the certificate of %q has the role %q", method, name, role)
}
