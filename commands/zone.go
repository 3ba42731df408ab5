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
	In  zoneIn  `cmd:"" help:"Return a data centre to service."`
}

type zoneOut struct {
	nodeFlags
	Name string `arg:"" help:"Name of the data centre."`
}

// Run adds the data centre to those out of service.
func (c *zoneOut) Run(ctx context.Context, s *streams) error {
	return c.applyChange(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		if slices.Contains(doc.Rules.DataCentresOut, c.Name) {
			return nil, fmt.Errorf("take data centre %q out of service: it is already out of service", c.Name)
		}
		op, err := config.NewPut(config.KindDataCentreOut, c.Name, c.Name)
		return []config.Operation{op}, err
	})
}

type zoneIn struct {
	nodeFlags
	Name string `arg:"" help:"Name of the data centre."`
}

// Run removes the data centre from those out of service.
func (c *zoneIn) Run(ctx context.Context, s *streams) error {
	return c.applyChange(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		if !slices.Contains(doc.Rules.DataCentresOut, c.Name) {
			return nil, fmt.Errorf("return data centre %q to service: it is not out of service", c.Name)
		}
		return []config.Operation{{Kind: config.KindDataCentreOut, Name: c.Name}}, nil
	})
}

type keyCommand struct {
	Grant    keyGrant    `cmd:"" help:"Create a key for a team and print its secret, which cannot be shown again."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key."`
}

type keyGrant struct {
	nodeFlags
	Team string `arg:"" help:"Team that the key authenticates."`
	Name string `arg:"" help:"Name of the new key."`
}

// Run creates the key and prints its secret.
func (c *keyGrant) Run(ctx context.Context, s *streams) error {
	secret := rand.Text()
	err := c.applyChange(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		if slices.ContainsFunc(doc.Register.Keys, c.hasName) {
			return nil, fmt.Errorf("grant key %q: a key of that name already exists", c.Name)
		}
		key := config.Key{Name: c.Name, Team: c.Team, SHA256: config.DigestKey(secret)}
		op, err := config.NewPut(config.KindKey, c.Name, key)
		return []config.Operation{op}, err
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, secret)
	return err
}

func (c *keyGrant) hasName(k config.Key) bool {
	return k.Name == c.Name
}

type keyWithdraw struct {
	nodeFlags
	Name string `arg:"" help:"Name of the key."`
}

// Run withdraws the key.
func (c *keyWithdraw) Run(ctx context.Context, s *streams) error {
	return c.applyChange(ctx, s, func(doc *config.Document) ([]config.Operation, error) {
		for _, k := range doc.Register.Keys {
			if k.Name == c.Name {
				return []config.Operation{{Kind: config.KindKey, Name: c.Name}}, nil
			}
		}
		return nil, fmt.Errorf("withdraw key %q: no such key", c.Name)
	})
}
