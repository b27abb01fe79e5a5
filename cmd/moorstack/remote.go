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

// controlFlags are the flags that select the control service that a command calls.
type controlFlags struct {
	target controlapi.Target
	config string
}

func (r *controlFlags) addFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&r.config, "config", os.Getenv("MOORSTACK_CONFIG"),
		"the instance's `file`, as for serve, which names its control socket ($MOORSTACK_CONFIG)")
	f.StringVar(&r.target.Socket, "socket", os.Getenv("MOORSTACK_SOCKET"),
		"the control `socket` ($MOORSTACK_SOCKET)")
	f.StringVar(&r.target.Address, "address", "",
		"the control `address`, over TLS; requires --instance, --ca, --cert and --key")
	f.StringVar(&r.target.InstanceName, "instance", "", "with --address: the `name` of the instance there")
	f.StringVar(&r.target.Keys.CA, "ca", "", "with --address: the authority's certificate `file`")
	f.StringVar(&r.target.Keys.Cert, "cert", "", "with --address: the caller's certificate `file`")
	f.StringVar(&r.target.Keys.Key, "key", "", "with --address: the caller's key `file`")
}

// controlCall is the part of a command that uses the control service.
type controlCall func(context.Context, schema.ControlClient) error

// call connects to the control service and passes it to f, within the default time limit of a command.
func (r *controlFlags) call(ctx context.Context, f controlCall) error {
	ctx, stop := controlapi.WithCallTimeout(ctx)
	defer stop()
	return r.stream(ctx, f)
}

// callWithTimeout is like call, with the given time limit.
func (r *controlFlags) callWithTimeout(ctx context.Context, timeout time.Duration, f controlCall) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return r.stream(ctx, f)
}

// stream is like call, without a time limit of its own.
func (r *controlFlags) stream(ctx context.Context, f controlCall) error {
	target, err := r.resolve()
	if err != nil {
		return err
	}
	c, closeConnection, err := controlapi.Dial(target)
	if err != nil {
		return err
	}
	defer closeConnection()
	return withExitCode(f(ctx, c))
}

// resolve returns the target that the flags name. With --config alone, the socket is read from the instance's
// file.
func (r *controlFlags) resolve() (controlapi.Target, error) {
	t := r.target
	if t.Socket == "" && t.Address == "" && r.config != "" {
		cfg, err := node.ReadServeConfig(r.config)
		if err != nil {
			return t, err
		}
		t.Socket = cfg.Control.Socket
	}
	if t.Socket == "" && t.Address == "" {
		return t, errors.New("no instance given: use --config FILE, --socket FILE or --address HOST:PORT")
	}
	if t.Socket != "" {
		if _, err := os.Stat(t.Socket); err != nil {
			return t, exitError{exitFailed, fmt.Errorf("no instance listens at %s: %w", t.Socket, err)}
		}
	}
	return t, nil
}

// callAndPrint makes one call to the control service and prints the reply: the value as JSON, or the table.
func (g *globalFlags) callAndPrint(cmd *cobra.Command, r *controlFlags,
	f func(context.Context, schema.ControlClient) (value any, t table, err error)) error {
	return r.call(cmd.Context(), func(ctx context.Context, c schema.ControlClient) error {
		value, t, err := f(ctx, c)
		if err != nil {
			return err
		}
		return g.print(cmd.OutOrStdout(), value, t)
	})
}

// callAndConfirm makes one call that carries something out, and prints the reply's description of it.
func (g *globalFlags) callAndConfirm(cmd *cobra.Command, r *controlFlags,
	f func(context.Context, schema.ControlClient) (*schema.Operated, error)) error {
	return g.callAndPrint(cmd, r,
		func(ctx context.Context, c schema.ControlClient) (any, table, error) {
			done, err := f(ctx, c)
			if err != nil {
				return nil, table{}, err
			}
			return map[string]string{"done": done.Text}, table{rows: [][]string{{done.Text}}}, nil
		})
}

// operate has the group carry out an operation, and prints the description of it.
func (g *globalFlags) operate(cmd *cobra.Command, r *controlFlags, op *schema.Operation) error {
	return g.callAndConfirm(cmd, r,
		func(ctx context.Context, c schema.ControlClient) (*schema.Operated, error) {
			return c.Operate(ctx, op)
		})
}

// withExitCode converts an error of the control service to one with an exit code.
//
// A group without a leader is recognized by the text of its error: gRPC's code Unavailable also means a lost
// connection, and of the service's errors only code and text cross the wire.
func withExitCode(err error) error {
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
