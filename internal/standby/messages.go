package standby

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// Input is an input of the follower: one of the types below.
type Input interface{ input() }

// The inputs.
type (
	// Tick makes the follower start a sync if one is due.
	Tick struct{}
	// ListDone is the result of a List.
	ListDone struct {
		Prefix   string
		Err      error
		Items    []kvstore.KeyValue
		Revision ident.Revision
	}
	// WatchDone is the result of a Watch.
	WatchDone struct {
		Prefix   string
		Err      error
		Changes  []kvstore.WatchEvent
		Revision ident.Revision // up to which the changes are complete
	}
	// LeadershipChanged reports whether this node is the leader.
	LeadershipChanged struct{ Leading bool }
)

func (Tick) input()              {}
func (ListDone) input()          {}
func (WatchDone) input()         {}
func (LeadershipChanged) input() {}

// Effect is a read that the follower requests from its caller: one of the types below.
type Effect interface{ effect() }

// The effects.
type (
	// List requests all keys with the prefix.
	List struct{ Prefix string }
	// Watch requests the changes of the keys with the prefix after the revision Since, without
	// waiting for further changes.
	Watch struct {
		Prefix string
		Since  ident.Revision
	}
)

func (List) effect()  {}
func (Watch) effect() {}
