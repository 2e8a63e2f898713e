package controller

import (
	"badgerbay/internal/chunk"
	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// TransactionKind is the purpose of a leader's transaction. At most one transaction of each kind is in flight.
type TransactionKind int

// Kinds of transactions.
const (
	RoundTransaction         TransactionKind = iota // stores the decisions of a scheduling round
	FoldTransaction                                 // stores checkpoints of jobs
	SchemaVersionTransaction                        // stores the schema version that all nodes can read
	StagingTransaction                              // stores chunks of a checkpoint that needs several transactions
	QuotaTransaction                                // changes quota allocations
)

// CommitTransaction is the effect that commits a transaction of the leader to the state service.
type CommitTransaction struct {
	Kind  TransactionKind
	Epoch ident.Epoch
	Txn   kvstore.Txn
}

// TransactionCompleted is the outcome of a CommitTransaction.
type TransactionCompleted struct {
	Kind             TransactionKind
	Epoch            ident.Epoch
	Outcome          election.Outcome
	Revision         ident.Revision
	FailedConditions []string
	// ExceedsNextLimits is set if the transaction was rejected and is larger than the announced limits allow.
	ExceedsNextLimits bool
}

func (CommitTransaction) effect()   {}
func (TransactionCompleted) input() {}

// recordOperations returns the operations that store a record and its chunks. Chunk numbers begin at 1.
func recordOperations(key string, record any, chunks []*chunk.Value, chunkKey func(n int) string) []kvstore.Operation {
	operations := []kvstore.Operation{{SetKey: key, Value: record}}
	for i, value := range chunks {
		operations = append(operations, kvstore.Operation{SetKey: chunkKey(i + 1), Value: value})
	}
	return operations
}

// transactionCompleted passes the outcome of a transaction to the component that issued it.
func (t *term) transactionCompleted(now clock.Instant, in TransactionCompleted) {
	if in.Epoch != t.epoch {
		// The transaction was issued in an earlier term of this node. Each term reads all records again.
		return
	}
	if in.Outcome == election.OutcomeGone {
		t.core.stepElection(now, election.LeadershipLost{})
		return
	}
	if in.ExceedsNextLimits {
		t.schema.limitsReduced(t.epoch)
	}
	switch in.Kind {
	case RoundTransaction:
		t.roundCompleted(now, in)
	case FoldTransaction:
		t.foldCompleted(now, in)
	case SchemaVersionTransaction:
		t.schema.completed(in)
	case StagingTransaction:
		t.checkpoints.stagingCompleted(now, in)
	case QuotaTransaction:
		t.quotas.completeChange(now, in, t.jobs)
		t.rounds.requestPlan()
	}
}
