package placement

import "jacinthwind/core"

// NameSpread is the name under which Spread is registered.
const NameSpread = "spread"

func init() {
	core.Placements.Register(NameSpread, func() core.Placement { return Spread{} })
}
