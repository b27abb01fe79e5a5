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

// socketCaller is the name of a caller on the unix socket.
const socketCaller = "socket"

// readerMethods are the methods that readers may call. All others are for operators.
var readerMethods = map[string]bool{
	schema.Control_GetConfig_FullMethodName:    true,
	schema.Control_History_FullMethodName:      true,
	schema.Control_Watch_FullMethodName:        true,
	schema.Control_Status_FullMethodName:       true,
	schema.Control_Pending_FullMethodName:      true,
	schema.Control_Duties_FullMethodName:       true,
	schema.Control_ExplainRoute_FullMethodName: true,
}

// callerOf returns a caller's name and role; empty: it is not known.
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
		return socketCaller, keys.RoleOperator // who may open the file may do everything
	}
	return "", ""
}

// authorize returns an error unless the caller may call a method.
func (s *Server) authorize(ctx context.Context, method string) error {
	name, role := callerOf(ctx)
	if role == keys.RoleOperator || role == keys.RoleReader && readerMethods[method] {
		return nil
	}
	s.log.WithFields(logrus.Fields{"caller": name, "role": role, "method": method}).Warn("call rejected")
	return status.Errorf(codes.PermissionDenied,
		"%s is for operators; the certificate of %q is of the role %q", method, name, role)
}
