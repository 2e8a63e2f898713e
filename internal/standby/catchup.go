package standby

import (
	"fmt"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/recovery"
	"badgerbay/internal/roundlog"
)

// WatchFunc reads the changes of a prefix since a revision, without waiting, and the
// revision up to which they are complete.
type WatchFunc func(prefix string, since ident.Revision) ([]kvstore.WatchEvent, ident.Revision, error)

// CatchUp brings a replica up to the moment at which this node acquired its epoch,
// and returns what it then holds. No earlier leader can have written anything after
// that. Jobs that were stored later are found by watching from the revision it returns.
// An error means that the records must be read as without a replica.
func CatchUp(r *Replica, epoch ident.Epoch, watch WatchFunc) (recovery.StoredRecords, ident.Revision, error) {
	if !r.Complete() {
		return recovery.StoredRecords{}, 0, ErrNotLoaded
	}
	for _, prefix := range Prefixes {
		changes, revision, err := watch(prefix, r.Revision(prefix))
		if err != nil {
			return recovery.StoredRecords{}, 0, fmt.Errorf("changes of %s: %w", prefix, err)
		}
		if revision < ident.Revision(epoch) {
			return recovery.StoredRecords{}, 0, fmt.Errorf("%w: %s is complete up to %d, before the epoch %d", ErrOutOfOrder, prefix, revision, epoch)
		}
		if r, err = r.Apply(prefix, changes, revision); err != nil {
			return recovery.StoredRecords{}, 0, fmt.Errorf("changes of %s: %w", prefix, err)
		}
	}
	stored := recovery.StoredRecords{
		Jobs:   r.Items(jobs.KeyPrefix),
		Rounds: r.Items(roundlog.KeyPrefix),
		Chunks: r.Items(chunk.KeyPrefix),
	}
	return stored, r.Revision(jobs.KeyPrefix), nil
}
