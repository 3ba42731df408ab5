package config

// Follower applies the changes of the log in order and never returns to an
// earlier revision. Its zero value holds the empty configuration.
type Follower struct {
	state   State
	view    *View
	pending map[int64]*Change
}

// ApplyInOrder accepts changes in any order, applies those whose predecessors have
// all arrived, and reports whether the revision advanced. It ignores changes that
// are already applied.
func (f *Follower) ApplyInOrder(c *Change) (bool, error) {
	if c.Revision <= f.state.Revision {
		return false, nil
	}
	if f.pending == nil {
		f.pending = make(map[int64]*Change)
	}
	f.pending[c.Revision] = c
	advanced := false
	for {
		next, ok := f.pending[f.state.Revision+1]
		if !ok {
			return advanced, nil
		}
		delete(f.pending, next.Revision)
		if err := f.apply(next); err != nil {
			return advanced, err
		}
		advanced = true
	}
}

// ReplaceState replaces the configuration with a peer's if that has a later
// revision, and reports whether it did.
func (f *Follower) ReplaceState(s State) bool {
	if s.Revision <= f.state.Revision {
		return false
	}
	f.state, f.view = s, NewView(s, f.view)
	for revision := range f.pending {
		if revision <= s.Revision {
			delete(f.pending, revision)
		}
	}
	return true
}

func (f *Follower) apply(c *Change) error {
	state, err := f.state.Apply(c)
	if err != nil {
		return err
	}
	f.state, f.view = state, NewView(state, f.view)
	return nil
}

// State returns the current configuration.
func (f *Follower) State() State {
	return f.state
}

// View returns the indexed current configuration, or nil before the first change.
func (f *Follower) View() *View {
	return f.view
}

// HasGap reports whether a change has arrived of which a predecessor is missing.
func (f *Follower) HasGap() bool {
	return len(f.pending) > 0
}
