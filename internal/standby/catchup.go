package standby

import (
	"fmt"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/parts"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
)

// WatchFunc reads the changes of a prefix since a revision, without waiting, and the
// revision up to which they are complete.
type WatchFunc func(prefix string, since unit.Revision) ([]statestore.WatchEvent, unit.Revision, error)

// CatchUp brings a replica up to the moment at which this node acquired its epoch,
// and returns what it then holds. No earlier leader can have written anything after
// that. Jobs that were stored later are found by watching from the revision it
// returns.
func CatchUp(r *Replica, epoch unit.Epoch, watch WatchFunc) (takeover.StoredRecords, unit.Revision, error) {
	if !r.Complete() {
		return takeover.StoredRecords{}, 0, ErrNotLoaded
	}
	for _, prefix := range Prefixes {
		log, revision, err := watch(prefix, r.Revision(prefix))
		if err != nil {
			return takeover.StoredRecords{}, 0, err
		}
		if revision < unit.Revision(epoch) {
			return takeover.StoredRecords{}, 0, fmt.Errorf("%w: %s is complete up to %d, before the epoch %d", ErrOutOfOrder, prefix, revision, epoch)
		}
		if r, err = r.Apply(prefix, log, revision); err != nil {
			return takeover.StoredRecords{}, 0, err
		}
	}
	stored := takeover.StoredRecords{Jobs: r.Items(checkpoint.KeyPrefix), Rounds: r.Items(round.KeyPrefix), Chunks: r.Items(parts.KeyPrefix)}
	return stored, r.Revision(checkpoint.KeyPrefix), nil
}
