package controlapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"moorstack/internal/operate/keys"
	"moorstack/internal/schema"
)

// Target is where a control service is and how it is spoken to.
type Target struct {
	Socket       string
	Address      string // under TLS; Instance is whom it must be, Keys the caller's
	InstanceName string
	Keys         keys.Files
}

// Dial makes a client. Nothing is sent before its first call.
func Dial(t Target) (schema.ControlClient, func() error, error) {
	opts := []grpc.DialOption{
		grpc.WithConnectParams(
			grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6,
				MaxDelay: time.Second}, MinConnectTimeout: 2 * time.Second},
		),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
		)}
	target := ""
	switch {
	case t.Socket != "" && t.Address != "":
		return nil, nil, errors.New("either a socket or an address, not both")
	case t.Socket != "":
		target = "unix:" + t.Socket
		opts = append(opts, grpc.WithTransportCredentials(insecure.NewCredentials()))
	case t.Address != "":
		if t.InstanceName == "" {
			return nil, nil, errors.New("an address needs the name of the instance that must be there")
		}
		log := logrus.New()
		log.SetLevel(logrus.ErrorLevel)
		k, err := keys.NewReloader(t.Keys, log)
		if err != nil {
			return nil, nil, err
		}
		target = "passthrough:///" + t.Address
		opts = append(
			opts,
			grpc.WithTransportCredentials(credentials.NewTLS(k.ClientTLSConfig(t.InstanceName))),
		)
	default:
		return nil, nil, errors.New("neither a socket nor an address is given")
	}
	conn, err := grpc.NewClient(target, opts...)
	if err != nil {
		return nil, nil, fmt.Errorf("the control service: %w", err)
	}
	return schema.NewControlClient(conn), conn.Close, nil
}

// NewChangeID is the id of a new change: to repeat a change, repeat its id.
func NewChangeID() (string, error) { return newID() }

// WithCallTimeout bounds a call by a command.
func WithCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout+5*time.Second)
}
