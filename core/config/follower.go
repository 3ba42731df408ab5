package config

// Follower applies the changes of the log in order and never goes back; its
// zero value holds the empty configuration.
type Follower struct {
	state   State
	view    *View
	waiting map[int64]*Change
}

// Offer takes a change in any order and reports whether a later configuration
// came into force. A change that was applied before is ignored.
func (f *Follower) Offer(c *Change) (bool, error) {
	if c.Revision <= f.state.Revision {
		return false, nil
	}
	if f.waiting == nil {
		f.waiting = make(map[int64]*Change)
	}
	f.waiting[c.Revision] = c
	advanced := false
	for {
		next, ok := f.waiting[f.state.Revision+1]
		if !ok {
			return advanced, nil
		}
		delete(f.waiting, next.Revision)
		if err := f.apply(next); err != nil {
			return advanced, err
		}
		advanced = true
	}
}

// Adopt takes a whole configuration as a peer has it in force and reports
// whether it is later than the present one.
func (f *Follower) Adopt(s State) bool {
	if s.Revision <= f.state.Revision {
		return false
	}
	f.state, f.view = s, NewView(s, f.view)
	for revision := range f.waiting {
		if revision <= s.Revision {
			delete(f.waiting, revision)
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

// State returns the configuration in force as entries.
func (f *Follower) State() State {
	return f.state
}

// View returns the configuration in force, nil before the first change.
func (f *Follower) View() *View {
	return f.view
}

// HasGap reports whether a change is missing before one that has arrived.
func (f *Follower) HasGap() bool {
	return len(f.waiting) > 0
}
