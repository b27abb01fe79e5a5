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

// Target is a control service, and how a client authenticates: either a socket, or an address with the name
// of the instance that must be there and the caller's keys.
type Target struct {
	Socket       string // path of a unix socket
	Address      string // host and port
	InstanceName string
	Keys         keys.Files
}

// How a client connects again. A command waits for its call, and so the times are short.
const (
	connectBackoff       = 50 * time.Millisecond
	maxConnectBackoff    = time.Second
	connectBackoffFactor = 1.6
	minConnectTimeout    = 2 * time.Second
)

// callMargin is how much longer a command waits than the service takes for a call.
const callMargin = 5 * time.Second

// Dial makes a client, and returns what closes it. Nothing is sent before its first call.
func Dial(t Target) (schema.ControlClient, func() error, error) {
	address, transport, err := t.resolve()
	if err != nil {
		return nil, nil, err
	}
	connect := grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  connectBackoff,
			Multiplier: connectBackoffFactor,
			MaxDelay:   maxConnectBackoff,
		},
		MinConnectTimeout: minConnectTimeout,
	}
	connection, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(transport),
		grpc.WithConnectParams(connect),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallSendMsgSize(maxMessageBytes),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
		),
	)
	if err != nil {
		return nil, nil, fmt.Errorf("the control service: %w", err)
	}
	return schema.NewControlClient(connection), connection.Close, nil
}

// resolve returns the target as gRPC spells it, and the credentials for it.
func (t Target) resolve() (string, credentials.TransportCredentials, error) {
	switch {
	case t.Socket != "" && t.Address != "":
		return "", nil, errors.New("either a socket or an address, not both")
	case t.Socket != "":
		return "unix:" + t.Socket, insecure.NewCredentials(), nil
	case t.Address == "":
		return "", nil, errors.New("neither a socket nor an address is given")
	case t.InstanceName == "":
		return "", nil, errors.New("an address needs the name of the instance that must be there")
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	k, err := keys.NewReloader(t.Keys, log)
	if err != nil {
		return "", nil, err
	}
	return "passthrough:///" + t.Address, credentials.NewTLS(k.ClientTLSConfig(t.InstanceName)), nil
}

// NewChangeID draws the id of a new change. To repeat a change, its id is repeated.
func NewChangeID() (string, error) { return newID() }

// WithCallTimeout bounds a command's call.
func WithCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout+callMargin)
}
