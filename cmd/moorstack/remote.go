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

// controlFlags names the control service that a command calls, by its flags.
type controlFlags struct {
	target controlapi.Target
	config string
}

func (r *controlFlags) addFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&r.config, "config", os.Getenv("MOORSTACK_CONFIG"),
		"the instance's `file`, as for serve: its control socket is called ($MOORSTACK_CONFIG)")
	f.StringVar(&r.target.Socket, "socket", os.Getenv("MOORSTACK_SOCKET"),
		"the control `socket` ($MOORSTACK_SOCKET)")
	f.StringVar(&r.target.Address, "address", "",
		"the control `address`, under TLS; it needs the four flags below")
	f.StringVar(&r.target.InstanceName, "instance", "", "with --address: the `name` of the instance there")
	f.StringVar(&r.target.Keys.CA, "ca", "", "with --address: the authority's certificate `file`")
	f.StringVar(&r.target.Keys.Cert, "cert", "", "with --address: the caller's certificate `file`")
	f.StringVar(&r.target.Keys.Key, "key", "", "with --address: the caller's key `file`")
}

// controlCall is what a command does with the control service.
type controlCall func(context.Context, schema.ControlClient) error

// call dials the control service and has f use it, within the time that a command may take.
func (r *controlFlags) call(ctx context.Context, f controlCall) error {
	ctx, stop := controlapi.WithCallTimeout(ctx)
	defer stop()
	return r.stream(ctx, f)
}

// callWithTimeout is call with a limit of its own on time.
func (r *controlFlags) callWithTimeout(ctx context.Context, timeout time.Duration, f controlCall) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return r.stream(ctx, f)
}

// stream is call without a limit on time.
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

// resolve is the target that the flags name, its socket taken from the instance's file where they name that.
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
		return t, errors.New("say which instance: --config FILE, --socket FILE or --address HOST:PORT")
	}
	if t.Socket != "" {
		if _, err := os.Stat(t.Socket); err != nil {
			return t, exitError{exitFailed, fmt.Errorf("no instance listens at %s: %w", t.Socket, err)}
		}
	}
	return t, nil
}

// callAndPrint calls the control service once and prints its reply: the value as JSON, or the table.
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

// callAndConfirm calls the control service for something that is done, and prints what was.
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

// operate has the group carry out an operation, and prints what was done.
func (g *globalFlags) operate(cmd *cobra.Command, r *controlFlags, op *schema.Operation) error {
	return g.callAndConfirm(cmd, r,
		func(ctx context.Context, c schema.ControlClient) (*schema.Operated, error) {
			return c.Operate(ctx, op)
		})
}

// withExitCode turns the service's error into one with an exit code.
//
// Hazard: gRPC's code Unavailable stands for a lost connection, too. Of the service's errors only the text
// crosses the wire, so a group without a leader is distinguished from that by the text.
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
