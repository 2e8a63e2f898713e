package controller

import (
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
)

func encodeRecord(r *checkpoint.Record) ([]byte, error) { return msgpack.Marshal(r) }
