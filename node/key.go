package node

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"jacinthwind/core/config"
)

// Keys and prefixes of keys of this system in the store.
const (
	prefixRoot    = "jacinthwind/"
	prefixMembers = prefixRoot + "nodes/"
	keyAssignment = prefixRoot + "ownership/assignment"
	prefixChanges = prefixRoot + "config/log/"
	// prefixForgotten is the prefix for nodes that an operator declared permanently
	// gone.
	prefixForgotten = prefixRoot + "ownership/forgotten/"
)

// ChangeKey returns the store key of a configuration change. The revision is
// padded to 12 digits, so that the keys sort by revision.
func ChangeKey(revision int64) string {
	return fmt.Sprintf("%s%012d", prefixChanges, revision)
}

func isMemberKey(key string) bool {
	return strings.HasPrefix(key, prefixMembers)
}

func isForgottenKey(key string) bool {
	return strings.HasPrefix(key, prefixForgotten)
}

func isChangeKey(key string) bool {
	return strings.HasPrefix(key, prefixChanges)
}

// FirstChange returns the change that puts a document in force in an empty store.
func FirstChange(doc *config.Document, author string) (*config.Change, error) {
	ops, err := config.State{}.Diff(doc)
	if err != nil {
		return nil, err
	}
	return &config.Change{
		ID: uuid.NewString(), Revision: 1, Author: author, Time: time.Now().UTC(), Operations: ops,
	}, nil
}
