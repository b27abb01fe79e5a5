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
	Socket  string
	Address string // under TLS; Instance is whom it must be, Keys the caller's
	Name    string
	Keys    keys.Files
}

// Dial makes a client. Nothing is sent before its first call.
func Dial(t Target) (schema.ControlClient, func() error, error) {
	opts := []grpc.DialOption{
		grpc.WithConnectParams(
			grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6,
				MaxDelay: time.Second}, MinConnectTimeout: 2 * time.Second},
		),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(MaxMessage), grpc.MaxCallRecvMsgSize(MaxMessage))}
	target := ""
	switch {
	case t.Socket != "" && t.Address != "":
		return nil, nil, errors.New("either a socket or an address, not both")
	case t.Socket != "":
		target = "unix:" + t.Socket
		opts = append(opts, grpc.WithTransportCredentials(insecure.NewCredentials()))
	case t.Address != "":
		if t.Name == "" {
			return nil, nil, errors.New("an address needs the name of the instance that must be there")
		}
		log := logrus.New()
		log.SetLevel(logrus.ErrorLevel)
		k, err := keys.Open(t.Keys, log)
		if err != nil {
			return nil, nil, err
		}
		target = "passthrough:///" + t.Address
		opts = append(opts, grpc.WithTransportCredentials(credentials.NewTLS(k.Client(t.Name))))
	default:
		return nil, nil, errors.New("neither a socket nor an address is given")
	}
	conn, err := grpc.NewClient(target, opts...)
	if err != nil {
		return nil, nil, fmt.Errorf("the control service: %w", err)
	}
	return schema.NewControlClient(conn), conn.Close, nil
}

// ChangeID is the id of a new change: to repeat a change, repeat its id.
func ChangeID() (string, error) { return newCluster() }

// Patience bounds a call by a command.
func Patience(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, patience+5*time.Second)
}
