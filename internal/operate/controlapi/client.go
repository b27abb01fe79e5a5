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

// Target identifies a control service and the client's credentials: either a socket, or an address with the
// name of the instance expected there and the caller's certificates.
type Target struct {
	Socket       string // path of a unix socket
	Address      string // host:port
	InstanceName string
	Keys         keys.Files
}

// Parameters for connecting again after a failure. The times are short because a command waits meanwhile.
const (
	connectBackoff       = 50 * time.Millisecond
	maxConnectBackoff    = time.Second
	connectBackoffFactor = 1.6
	minConnectTimeout    = 2 * time.Second
)

// callMargin is how much longer a command waits than callTimeout, the time limit of the service.
const callMargin = 5 * time.Second

// Dial returns a client and the function that closes it. It connects at the first call.
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
		return nil, nil, fmt.Errorf("creating the control service client: %w", err)
	}
	return schema.NewControlClient(connection), connection.Close, nil
}

// resolve returns the target in gRPC's syntax and the credentials for it.
func (t Target) resolve() (string, credentials.TransportCredentials, error) {
	switch {
	case t.Socket != "" && t.Address != "":
		return "", nil, errors.New("both a socket and an address are given, want only one of them")
	case t.Socket != "":
		return "unix:" + t.Socket, insecure.NewCredentials(), nil
	case t.Address == "":
		return "", nil, errors.New("neither a socket nor an address is given")
	case t.InstanceName == "":
		return "", nil, errors.New("an address requires the name of the instance expected there")
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	reloader, err := keys.NewReloader(t.Keys, log)
	if err != nil {
		return "", nil, err
	}
	return "passthrough:///" + t.Address, credentials.NewTLS(reloader.ClientTLSConfig(t.InstanceName)), nil
}

// NewChangeID returns a random ID for a new change. A repeated proposal of the same change must use the same
// ID.
func NewChangeID() (string, error) { return newID() }

// WithCallTimeout returns a context with the timeout for a command's call.
func WithCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout+callMargin)
}
