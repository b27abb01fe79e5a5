package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/node"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
)

// remote is where the control service is that a command calls.
type remote struct {
	target controlapi.Target
	config string
}

func (r *remote) addFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&r.config, "config", os.Getenv("MOORSTACK_CONFIG"),
		"the instance's `file`, as for serve: its control socket is called ($MOORSTACK_CONFIG)")
	f.StringVar(
		&r.target.Socket,
		"socket",
		os.Getenv("MOORSTACK_SOCKET"),
		"the control `socket` ($MOORSTACK_SOCKET)",
	)
	f.StringVar(
		&r.target.Address,
		"address",
		"",
		"the control `address`, under TLS; it needs the four flags below",
	)
	f.StringVar(&r.target.InstanceName, "instance", "", "with --address: the `name` of the instance there")
	f.StringVar(&r.target.Keys.CA, "ca", "", "with --address: the authority's certificate `file`")
	f.StringVar(&r.target.Keys.Cert, "cert", "", "with --address: the caller's certificate `file`")
	f.StringVar(&r.target.Keys.Key, "key", "", "with --address: the caller's key `file`")
}

// call makes a client and has f use it, within the time that a command may take.
func (r *remote) call(ctx context.Context, f func(context.Context, schema.ControlClient) error) error {
	ctx, stop := controlapi.WithCallTimeout(ctx)
	defer stop()
	return r.stream(ctx, f)
}

// within is call for something that may take so long.
func (r *remote) within(ctx context.Context, d time.Duration,
	f func(context.Context, schema.ControlClient) error) error {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()
	return r.stream(ctx, f)
}

// stream is call without a limit on time.
func (r *remote) stream(ctx context.Context, f func(context.Context, schema.ControlClient) error) error {
	t := r.target
	if t.Socket == "" && t.Address == "" && r.config != "" {
		cfg, err := node.ReadServeConfig(r.config)
		if err != nil {
			return err
		}
		t.Socket = cfg.Control.Socket
	}
	if t.Socket == "" && t.Address == "" {
		return errors.New("say which instance: --config FILE, --socket FILE or --address HOST:PORT")
	}
	if t.Socket != "" {
		if _, err := os.Stat(t.Socket); err != nil {
			return exitError{exitFailed, fmt.Errorf("no instance listens at %s: %w", t.Socket, err)}
		}
	}
	c, end, err := controlapi.Dial(t)
	if err != nil {
		return err
	}
	defer end()
	return outcomeOf(f(ctx, c))
}

// outcomeOf turns the service's error into one with an exit code.
func outcomeOf(err error) error {
	s, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	code := exitFailed
	switch s.Code() {
	case codes.PermissionDenied:
		code = exitDenied
	case codes.InvalidArgument:
		code = exitInvalid
	case codes.DeadlineExceeded:
		code = exitUnknown
	case codes.Unavailable:
		if strings.Contains(s.Message(), consensus.ErrNoLeader.Error()) {
			code = exitNoLeader
		}
	}
	return exitError{code, errors.New(s.Message())}
}
