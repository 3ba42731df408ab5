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
	// commandTimeout limits the time of a configuration change.
	commandTimeout = 10 * time.Second
	// maxRebases limits the attempts to apply a change of single entries while
	// other operators change other entries.
	maxRebases = 5
)

// nodeFlags holds the flags of the commands that call a node.
type nodeFlags struct {
	Node string `help:"Operator address of any node, HOST:PORT." default:"127.0.0.1:7012" env:"JACINTHWIND_NODE"`
	JSON bool   `name:"json" help:"Print the result as JSON."`
}

func (f *nodeFlags) newClient() *operator.Client {
	return &operator.Client{Address: f.Node}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "uid-" + fmt.Sprint(os.Getuid())
}

// applyChange applies the operations that buildOperations returns for the
// document in force. It retries on the new revision if another operator has
// meanwhile changed other entries.
func (f *nodeFlags) applyChange(ctx context.Context, s *streams, buildOperations func(*config.Document) ([]config.Operation, error)) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var conflict *operator.ConflictError
	for range maxRebases {
		reply, operations, err := f.applyChangeOnce(ctx, buildOperations)
		if errors.As(err, &conflict) && !conflict.Overlaps(operations) {
			continue
		}
		if err != nil {
			return err
		}
		return f.printChangeReply(s, reply)
	}
	return conflict
}

func (f *nodeFlags) applyChangeOnce(ctx context.Context, buildOperations func(*config.Document) ([]config.Operation, error)) (operator.ChangeReply, []config.Operation, error) {
	current, err := f.newClient().Config(ctx)
	if err != nil {
		return operator.ChangeReply{}, nil, err
	}
	operations, err := buildOperations(&current.Document)
	if err != nil {
		return operator.ChangeReply{}, nil, err
	}
	reply, err := f.newClient().Apply(ctx, operator.ChangeQuery{
		Author: currentUser(), BaseRevision: current.Revision, Operations: operations,
	})
	return reply, operations, err
}

func (f *nodeFlags) printChangeReply(s *streams, reply operator.ChangeReply) error {
	if f.JSON {
		return printJSON(s.out, reply)
	}
	_, err := fmt.Fprintf(s.out, "accepted as revision %d\n", reply.Revision)
	return err
}
