package commands

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"jacinthwind/core/config"
	"jacinthwind/io/operator"
)

const (
	commandTimeout = 10 * time.Second
	// maxRebases bounds how often a change of single entries is based anew on
	// changes of other entries.
	maxRebases = 5
)

// nodeFlags say which node a command talks to.
type nodeFlags struct {
	Node string `help:"Operator address of any node." default:"127.0.0.1:7012" env:"JACINTHWIND_NODE"`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (f *nodeFlags) client() *operator.Client {
	return &operator.Client{Address: f.Node}
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "uid-" + fmt.Sprint(os.Getuid())
}

// change applies operations on single entries, and again on the newer revision
// when another operator changed other entries in between.
func (f *nodeFlags) change(ctx context.Context, s *streams, ops func(*config.Document) ([]config.Operation, error)) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var conflict *operator.ConflictError
	for range maxRebases {
		reply, changed, err := f.changeOnce(ctx, ops)
		if errors.As(err, &conflict) && !conflict.Touches(changed) {
			continue
		}
		if err != nil {
			return err
		}
		return f.printChange(s, reply)
	}
	return conflict
}

func (f *nodeFlags) changeOnce(ctx context.Context, ops func(*config.Document) ([]config.Operation, error)) (operator.ChangeReply, []config.Operation, error) {
	current, err := f.client().Config(ctx)
	if err != nil {
		return operator.ChangeReply{}, nil, err
	}
	changed, err := ops(&current.Document)
	if err != nil {
		return operator.ChangeReply{}, nil, err
	}
	reply, err := f.client().Apply(ctx, operator.ChangeQuery{
		Author: author(), BaseRevision: current.Revision, Operations: changed,
	})
	return reply, changed, err
}

func (f *nodeFlags) printChange(s *streams, reply operator.ChangeReply) error {
	if f.JSON {
		return printJSON(s.out, reply)
	}
	_, err := fmt.Fprintf(s.out, "accepted as revision %d\n", reply.Revision)
	return err
}
