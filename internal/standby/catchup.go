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

// WatchFunc returns the changes of the keys with a prefix after a revision, without waiting for
// further changes, and the revision up to which they are complete.
type WatchFunc func(prefix string, since ident.Revision) ([]kvstore.WatchEvent, ident.Revision, error)

// CatchUp applies the changes since the replica's revisions, at least up to the revision at which
// this node acquired its epoch, and returns the resulting records. No earlier leader can have
// written anything after that revision. The caller finds jobs that are stored later by a watch from
// the revision that CatchUp returns. After an error the caller must read all records, as it would
// without a replica.
func CatchUp(r *Replica, epoch ident.Epoch, watch WatchFunc) (recovery.StoredRecords, ident.Revision, error) {
	if !r.Complete() {
		return recovery.StoredRecords{}, 0, ErrNotLoaded
	}
	for _, prefix := range Prefixes {
		changes, revision, err := watch(prefix, r.Revision(prefix))
		if err != nil {
			return recovery.StoredRecords{}, 0, fmt.Errorf("read changes of %s: %w", prefix, err)
		}
		if revision < ident.Revision(epoch) {
			return recovery.StoredRecords{}, 0, fmt.Errorf("%w: changes of %s are complete up to revision %d, before epoch %d", ErrOutOfOrder, prefix, revision, epoch)
		}
		if r, err = r.Apply(prefix, changes, revision); err != nil {
			return recovery.StoredRecords{}, 0, fmt.Errorf("apply changes of %s: %w", prefix, err)
		}
	}
	stored := recovery.StoredRecords{
		Jobs:   r.Items(jobs.KeyPrefix),
		Rounds: r.Items(roundlog.KeyPrefix),
		Chunks: r.Items(chunk.KeyPrefix),
	}
	return stored, r.Revision(jobs.KeyPrefix), nil
}
