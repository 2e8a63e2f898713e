package standby

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// Input is what the follower takes: one of the types below.
type Input interface{ input() }

// Inputs.
type (
	// Tick lets time pass.
	Tick struct{}
	// ListDone completes List.
	ListDone struct {
		Prefix   string
		Err      error
		Items    []kvstore.KeyValue
		Revision ident.Revision
	}
	// WatchDone completes Watch.
	WatchDone struct {
		Prefix   string
		Err      error
		Changes  []kvstore.WatchEvent
		Revision ident.Revision // up to which the changes are complete
	}
	// LeadershipChanged says whether this node leads.
	LeadershipChanged struct{ Leading bool }
)

func (Tick) input()              {}
func (ListDone) input()          {}
func (WatchDone) input()         {}
func (LeadershipChanged) input() {}

// Effect is what the follower wants done: one of the types below.
type Effect interface{ effect() }

// Effects.
type (
	// List reads all keys with the prefix.
	List struct{ Prefix string }
	// Watch reads the changes of the prefix since a revision, without waiting.
	Watch struct {
		Prefix string
		Since  ident.Revision
	}
)

func (List) effect()  {}
func (Watch) effect() {}
