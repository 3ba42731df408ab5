package node

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"jacinthwind/core/config"
)

// Store keys of this system.
const (
	keyRoot       = "jacinthwind/"
	keyMembers    = keyRoot + "nodes/"
	keyAssignment = keyRoot + "ownership/assignment"
	keyChanges    = keyRoot + "config/log/"
	// keyForgotten is the prefix for nodes that an operator declared permanently
	// gone.
	keyForgotten = keyRoot + "ownership/forgotten/"
)

// ChangeKey returns the store key of a configuration change. The revision is
// padded to 12 digits, so that the keys sort by revision.
func ChangeKey(revision int64) string {
	return fmt.Sprintf("%s%012d", keyChanges, revision)
}

func isMemberKey(key string) bool {
	return strings.HasPrefix(key, keyMembers)
}

func isForgottenKey(key string) bool {
	return strings.HasPrefix(key, keyForgotten)
}

func isChangeKey(key string) bool {
	return strings.HasPrefix(key, keyChanges)
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
