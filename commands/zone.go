package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"

	"jacinthwind/core/config"
)

type zoneCommand struct {
	Out zoneOut `cmd:"" help:"Take a data centre out of service."`
	In  zoneIn  `cmd:"" help:"Bring a data centre back into service."`
}

type zoneOut struct {
	nodeFlags
	Name string `arg:"" help:"Data centre."`
}

// Run implements the command.
func (c *zoneOut) Run(ctx context.Context, s *streams) error {
	return c.change(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		if slices.Contains(doc.Rules.DataCentresOut, c.Name) {
			return nil, fmt.Errorf("data centre %s is out of service already", c.Name)
		}
		op, err := config.Put(config.KindDataCentreOut, c.Name, c.Name)
		return []config.Operation{op}, err
	})
}

type zoneIn struct {
	nodeFlags
	Name string `arg:"" help:"Data centre."`
}

// Run implements the command.
func (c *zoneIn) Run(ctx context.Context, s *streams) error {
	return c.change(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		if !slices.Contains(doc.Rules.DataCentresOut, c.Name) {
			return nil, fmt.Errorf("data centre %s is not out of service", c.Name)
		}
		return []config.Operation{{Kind: config.KindDataCentreOut, Name: c.Name}}, nil
	})
}

type keyCommand struct {
	Grant    keyGrant    `cmd:"" help:"Make a key for a team and print its secret once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key."`
}

type keyGrant struct {
	nodeFlags
	Team string `arg:"" help:"Team that the key works for."`
	Name string `arg:"" help:"Name of the new key."`
}

// Run implements the command.
func (c *keyGrant) Run(ctx context.Context, s *streams) error {
	secret := rand.Text()
	err := c.change(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		if slices.ContainsFunc(doc.Register.Keys, c.isName) {
			return nil, fmt.Errorf("a key is named %s already", c.Name)
		}
		key := config.Key{Name: c.Name, Team: c.Team, SHA256: config.DigestKey(secret)}
		op, err := config.Put(config.KindKey, c.Name, key)
		return []config.Operation{op}, err
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, secret)
	return err
}

func (c *keyGrant) isName(k config.Key) bool {
	return k.Name == c.Name
}

type keyWithdraw struct {
	nodeFlags
	Name string `arg:"" help:"Name of the key."`
}

// Run implements the command.
func (c *keyWithdraw) Run(ctx context.Context, s *streams) error {
	return c.change(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		for _, k := range doc.Register.Keys {
			if k.Name == c.Name {
				return []config.Operation{{Kind: config.KindKey, Name: c.Name}}, nil
			}
		}
		return nil, fmt.Errorf("no key is named %s", c.Name)
	})
}
